package voter

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/quorum"
)

// Applier is the state machine that the log drives. All calls come from one
// goroutine. Apply must be deterministic: members that apply the same commands
// reach the same state, also if some of them were restored from a snapshot between
// two commands. A command at which Apply panics is refused (see refuse.go).
type Applier interface {
	// Apply executes a command and returns the reply for the proposer. After a panic
	// nobody may read the state until it has been restored.
	Apply(index poplar.Index, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot and the commands that follow it, in one
	// step for readers. An empty snapshot is the initial state.
	Restore(snapshot []byte, later ...Command) error
}

// Command is a command and the index of its entry.
type Command struct {
	Index poplar.Index
	Data  []byte
}

// Forward proposes a command at another daemon, which must handle it with
// Voter.ProposeHere. An error keeps the run state reported by that daemon.
type Forward func(ctx context.Context, to poplar.Daemon, command []byte) ([]byte, error)

// Config configures a voter. Zero values of Heartbeat and Election are replaced
// by the defaults of package quorum, those of Repair and Compact by the defaults
// of this package.
type Config struct {
	Name poplar.Daemon
	// Founders are the initial voters of the log. A member on a new disk also
	// asks these daemons for the log.
	Founders []poplar.Daemon
	// Join is true for a member that never founds a log on a new disk. A founder that
	// restarts on its disk before the log is founded goes on with it.
	Join bool
	// TargetVoters is the number of voters up to which joining members are promoted.
	// Once there are that many, a silent voter is replaced by a learner that
	// keeps up with the log. With 0, only a daemon on a new disk is admitted, in
	// place of its earlier incarnation.
	TargetVoters int
	Files        poplar.Files
	Applier      Applier
	Sender       poplar.Sender[quorum.Message]
	Forward      Forward
	Clock        poplar.Clock
	// Ballot, if it is set, is called for each decision on a request for this
	// member's vote. It must not block.
	Ballot func(quorum.Ballot)
	// Refused, if it is set, is called for each entry whose command could not be
	// applied. It must not block.
	Refused func(index poplar.Index, cause error)
	// Heartbeat and Election have the same meaning as in quorum.Config.
	Heartbeat time.Duration
	Election  time.Duration
	// RepairTimeout is the time for which a voter must be silent before the same
	// daemon on a new disk, or another learner, replaces it.
	RepairTimeout time.Duration
	// CompactSize is the journal size in bytes above which a snapshot is taken.
	CompactSize int64
	// Seed makes the incarnation and the timeouts reproducible. When it is
	// zero, a random seed is read from the system.
	Seed uint64
}

const (
	defaultRepair  = 10 * time.Second
	defaultCompact = 8 << 20 // bytes

	// ticksPerHeartbeat is the number of ticks of the machine per heartbeat.
	ticksPerHeartbeat = 5
	// helloHeartbeats is the number of heartbeat intervals between two hellos
	// of a member that waits for the log.
	helloHeartbeats = 2
)

func (c Config) withDefaults() (Config, error) {
	if c.Name == "" || c.Files == nil || c.Applier == nil || c.Sender == nil || c.Clock == nil {
		return c, fmt.Errorf("voter needs a name, files, an applier, a sender and a clock")
	}
	if len(c.Founders) == 0 {
		return c, errors.New("voter needs at least one founder")
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = quorum.DefaultHeartbeatInterval
	}
	if c.Election <= 0 {
		c.Election = quorum.DefaultElectionTimeout
	}
	if c.RepairTimeout <= 0 {
		c.RepairTimeout = defaultRepair
	}
	if c.CompactSize <= 0 {
		c.CompactSize = defaultCompact
	}
	if c.Seed == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return c, fmt.Errorf("read random seed: %w", err)
		}
		c.Seed = binary.LittleEndian.Uint64(b[:])
	}
	return c, nil
}

// Start opens the journal in the data folder and runs the member. It fails with
// poplar.CodeConflict if the folder belongs to another daemon, and with
// poplar.CodeCorrupt if the journal is damaged.
func Start(config Config) (*Voter, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, poplar.Fail(poplar.StepPropose, poplar.CodeInvalid, err)
	}
	journal, recovered, err := disk.Open(config.Files, journalName)
	if err != nil {
		return nil, err
	}
	im, err := loadImage(recovered)
	if err == nil {
		err = ensureIdentity(&im, config, journal)
	}
	if err == nil {
		err = config.Applier.Restore(im.Snapshot.Data)
	}
	if err != nil {
		journal.Close()
		return nil, err
	}
	v := newVoter(config, im, disk.NewGroup(journal))
	go v.loop()
	return v, nil
}

// ensureIdentity generates and stores the incarnation for a new folder, and
// checks the daemon name in an existing one. 32 bits suffice to distinguish the disks of one daemon
// and keep messages short.
func ensureIdentity(im *image, config Config, journal *disk.Journal) error {
	if im.Self != (quorum.Member{}) {
		if im.Self.Name != config.Name {
			return poplar.Failf(poplar.StepDisk, poplar.CodeConflict, "data folder belongs to %v, not to %s", im.Self, config.Name)
		}
		return nil
	}
	im.Self = quorum.Member{Name: config.Name, Incarnation: max(1, config.Seed&math.MaxUint32)}
	records := [][]byte{encode(record{Self: &im.Self})}
	if config.isFounder() {
		im.Found.Names = config.Founders
		records = append(records, encode(record{Found: &im.Found}))
	}
	if err := journal.Append(records...); err != nil {
		return err
	}
	return journal.Sync()
}

// isFounder reports whether the configuration names the member as a founder.
func (c Config) isFounder() bool { return !c.Join && slices.Contains(c.Founders, c.Name) }
