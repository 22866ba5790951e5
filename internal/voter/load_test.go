package voter

import (
	"context"
	"sync"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
)

// loadCommand is a command that only keeps the log busy.
const loadCommand = "load"

// slowFiles is a disk whose syncs take a while.
type slowFiles struct {
	*disk.Memory
	syncTime time.Duration
}

func (s slowFiles) Create(name string) (poplar.File, error) { return s.wrap(s.Memory.Create(name)) }

func (s slowFiles) Append(name string) (poplar.File, error) { return s.wrap(s.Memory.Append(name)) }

func (s slowFiles) wrap(f poplar.File, err error) (poplar.File, error) {
	return slowFile{f, s.syncTime}, err
}

type slowFile struct {
	poplar.File
	syncTime time.Duration
}

func (f slowFile) Sync() error {
	time.Sleep(f.syncTime)
	return f.File.Sync()
}

// client proposes commands at one daemon, one after another.
type client struct {
	fleet  *fleet
	daemon poplar.Daemon
	ctx    context.Context
}

func (c client) run() {
	for c.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		if v := c.fleet.voter(c.daemon); v != nil {
			_, _ = v.Propose(ctx, []byte(loadCommand))
		}
		cancel()
		time.Sleep(2 * time.Millisecond)
	}
}

// load keeps entries on their way until the test ends.
func (f *fleet) load(daemon poplar.Daemon) {
	const clients = 8
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for range clients {
		running.Go(client{f, daemon, ctx}.run)
	}
	f.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}
