package core

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/roster"
)

// TestAcknowledgedLeaveIsKept plays testdata/leaves.txt. It guards against an upstream that has
// left and is used again because the daemon that acknowledged it has restarted.
func TestAcknowledgedLeaveIsKept(t *testing.T) {
	file, err := os.Open("testdata/leaves.txt")
	assert.NilError(t, err)
	defer file.Close()
	cases := map[string][]string{}
	name := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if after, ok := strings.CutPrefix(line, "= "); ok {
			name = after
		} else if line != "" && line[0] != '#' {
			cases[name] = append(cases[name], line)
		}
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := &leavePlay{fleet: newFleet(t, 3)}
			p.declare(p.seeds[0], 1, "one")
			for _, a := range p.seeds {
				p.latest(a)
			}
			for _, step := range steps {
				p.step(strings.Fields(step))
			}
		})
	}
}

// leavePlay plays a case of testdata/leaves.txt.
type leavePlay struct {
	*fleet
	sequence uint64
	crashes  uint64
}

func (p *leavePlay) step(words []string) {
	p.t.Helper()
	if words[0] == "sees" {
		p.await(strings.Join(words, " "), func() bool { return p.listed() == words[1] })
		return
	}
	for _, daemon := range words[0] {
		address := p.seeds[daemon-'a']
		switch words[1] {
		case "crash":
			p.crashes++
			p.disks[address].FailAt(1, disk.FaultStop)
			p.stop(address)
			p.disks[address].Crash(p.crashes)
		case "start":
			l, err := net.Listen("tcp4", address)
			assert.NilError(p.t, err)
			p.start(l, false)
		case "refused":
			// Without a leader and without a router it does not even hear.
			p.watch(address)
			assert.Assert(p.t, p.announce(address, words[2:]) != nil, "%v", words)
		default:
			p.await(strings.Join(words, " "), func() bool { return p.announce(address, words[1:]) == nil })
		}
	}
}

// announce lets an announcement of a case arrive at a daemon.
func (p *leavePlay) announce(address string, words []string) error {
	p.t.Helper()
	born, err := strconv.ParseInt(words[1], 10, 64)
	assert.NilError(p.t, err)
	return p.hear(address, "up", roster.State(words[0]), born)
}

// hear lets an announcement arrive at a daemon.
func (p *leavePlay) hear(address, name string, state roster.State, born int64) error {
	p.sequence++
	n := roster.Announcement{Name: poplar.Upstream(name), StartedAt: born, Sequence: p.sequence, State: state}
	if state != roster.StateRemoved {
		n.Service, n.Address, n.Domain = "s", name+":9", "d"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.cores[address].Hear(ctx, n)
}

// watch returns what a daemon tells a router that has just started.
func (p *leavePlay) watch(address string) []roster.Entry {
	p.t.Helper()
	seen, err := p.cores[address].watch(context.Background(), poplar.Daemon(fmt.Sprint("router", p.sequence)), Watch{Immediate: true})
	assert.NilError(p.t, err)
	return seen.Entries
}

// listed returns the upstreams that a router that has just started may use.
func (p *leavePlay) listed() string {
	union := roster.NewUnion()
	for address := range p.cores {
		union.SetSource(address, p.watch(address))
	}
	var list []string
	for _, e := range union.Entries() {
		if e.State != roster.StateReady {
			list = append(list, string(e.State))
		} else {
			list = append(list, string(e.Name))
		}
	}
	return strings.Join(append(list, "-")[:max(len(list), 1)], " ")
}

// gatedFiles is a disk whose syncs wait while its gate is locked.
type gatedFiles struct {
	*disk.Memory
	gate *sync.RWMutex
}

func (g gatedFiles) Create(name string) (poplar.File, error) { return g.wrap(g.Memory.Create(name)) }

func (g gatedFiles) Append(name string) (poplar.File, error) { return g.wrap(g.Memory.Append(name)) }

func (g gatedFiles) wrap(file poplar.File, err error) (poplar.File, error) {
	return gatedFile{file, g.gate}, err
}

type gatedFile struct {
	poplar.File
	gate *sync.RWMutex
}

// Sync implements poplar.File.
func (f gatedFile) Sync() error {
	f.gate.RLock()
	defer f.gate.RUnlock()
	return f.File.Sync()
}

// TestLeaveDoesNotWaitForOneDisk lets the disk of one daemon hang, be it the leader's or not, and an
// upstream leave at each daemon in turn until one acknowledges it. It guards against
// acknowledgements that wait for the slowest daemon, and against calls that never end.
func TestLeaveDoesNotWaitForOneDisk(t *testing.T) {
	for _, leader := range []bool{true, false} {
		t.Run(fmt.Sprint("leader ", leader), func(t *testing.T) {
			t.Parallel()
			p := &leavePlay{fleet: newFleet(t, 3)}
			p.declare(p.seeds[0], 1, "one")
			hung := ""
			p.await("a leader that all know", func() bool {
				for _, a := range p.seeds {
					if s := p.cores[a].Stats(); !s.Led || s.Voters != 3 {
						return false
					} else if s.Leads == leader {
						hung = a
					}
				}
				return hung != ""
			})
			p.gates[hung].Lock()
			defer p.gates[hung].Unlock()
			for i, first := range p.seeds {
				n := roster.Announcement{Name: poplar.Upstream(fmt.Sprint("up", i)), State: roster.StateRemoved, StartedAt: 1, Sequence: 1}
				at := first
				p.await("an acknowledgement", func() bool {
					if p.cores[at].Hear(context.Background(), n) == nil {
						return true
					}
					at = p.seeds[(slices.Index(p.seeds, at)+1)%len(p.seeds)]
					return false
				})
			}
		})
	}
}
