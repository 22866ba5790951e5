package meter

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/edge"
	"poplarbend.example/poplar/internal/fake"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/intake"
	"poplarbend.example/poplar/internal/trace"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/ledger"
	"poplarbend.example/poplar/pkg/route"
)

// This file holds a router with a durable ledger for measurements of the
// request path.

const (
	bed       = poplar.Domain("north")
	bedKey    = "pb-measure-0123456789abcdef"
	bedTokens = poplar.Tokens(1) << 40
	// settleTime is how long upstreams get to leave their slow start.
	settleTime = 300 * time.Millisecond
)

// bedPolicy is the configuration of the measurements.
func bedPolicy(reserve float64) (*conf.Policy, error) {
	return conf.Merge(map[string][]byte{"measure.jsonc": fmt.Appendf(nil, `{
		"domains": {%q: {}},
		"models": {"small": {"tokens": 4096}},
		"upstreams": {"*": {}},
		"budgets": {"b": {"workspace": "w", "tokens": %d}},
		"workspaces": {"w": {"callers": {"c": {"hash": %q, "budget": "b"}}}},
		"policy": {"reserve": %g},
	}`, bed, int64(1)<<40, conf.HashKey(bedKey), reserve)})
}

// stopwatch times the syncs of a folder.
type stopwatch struct {
	poplar.Files
	mu    sync.Mutex
	syncs *hdrhistogram.Histogram // invariant: guarded by mu; nanoseconds
}

// Create implements poplar.Files.
func (s *stopwatch) Create(name string) (poplar.File, error) { return s.wrap(s.Files.Create(name)) }

// Append implements poplar.Files.
func (s *stopwatch) Append(name string) (poplar.File, error) { return s.wrap(s.Files.Append(name)) }

func (s *stopwatch) wrap(f poplar.File, err error) (poplar.File, error) {
	if err != nil {
		return nil, err
	}
	return &timedFile{File: f, watch: s}, nil
}

func (s *stopwatch) times() *hdrhistogram.Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	return hdrhistogram.Import(s.syncs.Export())
}

type timedFile struct {
	poplar.File
	watch *stopwatch
}

// Sync implements poplar.File.
func (f *timedFile) Sync() error {
	start := time.Now()
	err := f.File.Sync()
	took := time.Since(start)
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	// A value past the histogram's range would be minutes long.
	_ = f.watch.syncs.RecordValue(int64(took))
	return err
}

// vault is the durable ledger of one domain, with its folder.
type vault struct {
	dir    string
	files  *stopwatch
	holder *holder.Replica
	stop   func() error
}

func openVault(ctx context.Context, name poplar.Daemon, tokens poplar.Tokens) (*vault, error) {
	dir, err := os.MkdirTemp("", "measure-")
	if err != nil {
		return nil, err
	}
	folder, err := disk.OpenFolder(dir)
	if err != nil {
		return nil, err
	}
	return openIn(ctx, name, tokens, dir, folder)
}

// openIn opens a ledger in files, which may be in memory; dir is thrown away
// with it.
func openIn(ctx context.Context, name poplar.Daemon, tokens poplar.Tokens, dir string, files poplar.Files) (*vault, error) {
	v := &vault{dir: dir, files: &stopwatch{Files: files, syncs: hdrhistogram.New(1, histogramMost, histogramDigits)}}
	journal, recovered, err := disk.Open(v.files, "ledger")
	if err != nil {
		return nil, err
	}
	v.stop = journal.Close
	v.holder, err = holder.Start(holder.Config{
		Domain: bed, Self: name, Disk: 1, Journal: journal, Snapshot: recovered.Snapshot(),
		Records: recovered.Records(), Clock: poplar.System{}, Limits: claim.DefaultLimits,
		Timeout: time.Second, Tick: time.Second, Compact: 64 << 20, ResumePeriod: time.Minute,
	})
	if err != nil {
		return nil, err
	}
	return v, v.holder.Follow(ctx, holder.Update{
		Pair:    holder.Pair{Epoch: 1, Primary: holder.Member{Name: name, Disk: 1}},
		Shares:  []ledger.Share{{Budget: "b", Serial: 1, Issued: tokens}},
		Domains: []poplar.Domain{bed},
	})
}

func (v *vault) close() {
	// The folder is thrown away.
	_ = v.holder.Close()
	_ = v.stop()
	_ = os.RemoveAll(v.dir)
}

// router is one daemon's request path before stand-ins.
type router struct {
	*vault
	edge    *edge.Edge
	roster  *intake.Roster
	server  *http.Server
	address string
	bound   net.Listener
	ctx     context.Context
	stop    context.CancelFunc
	wait    sync.WaitGroup
	engine  *fake.Engine
	desk    *intake.Desk
}

// startRouter starts a router with a ledger of its own.
func startRouter(ctx context.Context, name poplar.Daemon, engine *fake.Engine) (*router, error) {
	return startPoor(ctx, name, engine, bedTokens, 1)
}

// startPoor starts a router with a ledger of the given tokens and the given
// number for reservations.
func startPoor(ctx context.Context, name poplar.Daemon, engine *fake.Engine, tokens poplar.Tokens, reserve float64) (*router, error) {
	v, err := openVault(ctx, name, tokens)
	if err != nil {
		return nil, err
	}
	return openRouter(v, name, engine, reserve)
}

// startDiskless starts a router whose ledger has its journal in memory.
func startDiskless(ctx context.Context, name poplar.Daemon, engine *fake.Engine) (*router, error) {
	v, err := openIn(ctx, name, bedTokens, "", disk.NewMemory())
	if err != nil {
		return nil, err
	}
	return openRouter(v, name, engine, 1)
}

func openRouter(v *vault, name poplar.Daemon, engine *fake.Engine, reserve float64) (*router, error) {
	r, err := joinRouter(v, v.holder, name, engine, reserve)
	if err != nil {
		v.close()
		return nil, err
	}
	time.Sleep(settleTime)
	return r, nil
}

// joinRouter starts a router that uses the given ledger.
func joinRouter(v *vault, l poplar.Ledger, name poplar.Daemon, engine *fake.Engine, reserve float64) (*router, error) {
	policy, err := bedPolicy(reserve)
	if err != nil {
		return nil, err
	}
	r := &router{vault: v, roster: intake.NewRoster(bed, route.DefaultSettings()), engine: engine}
	quiet := log.NewWithOptions(io.Discard, log.Options{Formatter: log.JSONFormatter})
	open, err := conf.Secret{}.Gate()
	if err != nil {
		return nil, err
	}
	r.desk = intake.NewDesk(intake.Config{Clock: poplar.System{}, Watcher: r.roster, Gate: open, Log: quiet})
	if _, err := r.desk.Announce(engine.Announcement()); err != nil {
		return nil, err
	}
	r.edge = edge.New(edge.Config{
		Daemon: name, Domain: bed, Policy: func() *conf.Policy { return policy }, Ledger: l,
		Roster: r.roster, Clock: poplar.System{}, Tracer: trace.None().Provider().Tracer("measure"), Log: quiet,
	})
	if r.bound, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.address, r.server = r.bound.Addr().String(), r.edge.Server()
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.wait.Add(4)
	go r.runServe()
	go r.runEdge()
	go r.runRoster()
	go r.runRenew()
	return r, nil
}

func (r *router) runServe() {
	defer r.wait.Done()
	// Serve returns the expected error after Close.
	_ = r.server.Serve(r.bound)
}

func (r *router) runEdge() {
	defer r.wait.Done()
	r.edge.Run(r.ctx)
}

func (r *router) runRoster() {
	defer r.wait.Done()
	r.roster.RunFlush(r.ctx)
}

// runRenew renews the announcement of the engine.
func (r *router) runRenew() {
	defer r.wait.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-tick.C:
			// A refused renewal shows as an upstream that is gone.
			_, _ = r.desk.Announce(r.engine.Announcement())
		}
	}
}

// kill ends the router as a crash would: its connections break.
func (r *router) kill() {
	r.server.Close()
	r.edge.Close()
	r.stop()
	r.wait.Wait()
}

func (r *router) close() {
	r.kill()
	r.vault.close()
}
