package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds what every other module needs: log, traces, metrics, clock,
// data folder and identity.

var baseModule = fx.Module("base",
	fx.Provide(newLog, newTracer, trace.NewVars, newClock, newStore, newSelf),
)

func newLog(out io.Writer, s *conf.Settings) (*log.Logger, error) {
	return trace.New(out, s.Log, s.Name)
}

func newClock() poplar.Clock { return poplar.System{} }

func newTracer(lc fx.Lifecycle, s *conf.Settings) (*trace.Tracer, error) {
	t, err := trace.Open(context.Background(), s.Trace, s.Name, s.Domain)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(t.Close))
	return t, nil
}

// store is the daemon's data folder. A daemon that may hold a ledger and has
// no disk keeps it in memory, for the time of the process.
type store struct {
	files  poplar.Files // invariant: nil at a daemon that only routes
	folder *disk.Folder // invariant: nil without a disk
}

func newStore(lc fx.Lifecycle, s *conf.Settings) (*store, error) {
	if s.Data != "" {
		folder, err := disk.OpenFolder(s.Data)
		if err != nil {
			return nil, err
		}
		lc.Append(fx.StopHook(folder.Close))
		return &store{files: folder, folder: folder}, nil
	}
	if slices.Contains(s.Ledgers[s.Domain], s.Name) {
		return &store{files: disk.NewMemory()}, nil
	}
	return &store{}, nil
}

// lifeName is the name of the journal that holds the folder's incarnation.
const lifeName = "life"

// newSelf returns the daemon with the incarnation of its data folder, which is
// made when the folder is new. Without a folder it is that of the process.
func newSelf(s *conf.Settings, st *store, clock poplar.Clock) (state.Holder, error) {
	self := state.Holder{Name: s.Name}
	if st.files == nil {
		life, err := incarnate(clock.Now())
		self.Life = life
		return self, err
	}
	journal, recovered, err := disk.Open(st.files, lifeName)
	if err != nil {
		return self, err
	}
	defer journal.Close()
	if records := recovered.Records(); len(records) > 0 && len(records[0]) == 8 {
		self.Life = binary.LittleEndian.Uint64(records[0])
		return self, nil
	}
	if self.Life, err = incarnate(clock.Now()); err != nil {
		return self, err
	}
	if err := journal.Append(binary.LittleEndian.AppendUint64(nil, self.Life)); err != nil {
		return self, err
	}
	return self, journal.Sync()
}

// lifeBits is the number of random bits of an incarnation. With the time before
// them it stays exact as a JSON number, below 2^53.
const lifeBits = 10

// incarnate returns an incarnation that is higher than those of earlier folders
// and processes of the daemon, since the log refuses lower ones, and differs
// from that of another folder made at the same time.
func incarnate(now time.Time) (uint64, error) {
	random, err := draw()
	if err != nil {
		return 0, err
	}
	return uint64(now.UnixMilli())<<lifeBits | random&(1<<lifeBits-1), nil
}

// draw returns a random number.
func draw() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("draw a number: %w", err)
	}
	return binary.LittleEndian.Uint64(b[:]), nil
}
