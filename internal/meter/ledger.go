package meter

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/pkg/claim"
	"poplarbend.example/poplar/pkg/disk"
	"poplarbend.example/poplar/pkg/ledger"
)

// This file holds the measurement of a domain's ledger: durable requests a
// second, their delay, what is synced for them, and the restart.

var _ = Add("ledger", Ledger)

// The sizes of the measurement.
const (
	ledgerRouters = 64
	ledgerTime    = 3 * time.Second
	ledgerRecords = 100_000
	ledgerBudgets = 81_000
	// ledgerRate is a domain's requests a second at the two-year peak: 5,800
	// over 13 domains, rounded up to the 500 of the design page.
	ledgerRate = 500
	// ledgerMemory is the bound on a daemon's memory for control, in bytes.
	ledgerMemory = 32 << 20
)

// Ledger measures reserve + settle on real folders: a pair of daemons, one
// alone, and one that syncs each record by itself.
func Ledger(ctx context.Context, out *Sheet) error {
	for _, way := range []ledgerWay{{"pair", true, false}, {"alone", false, false}, {"each", false, true}} {
		if err := way.measure(ctx, out); err != nil {
			return fmt.Errorf("%s: %w", way.name, err)
		}
	}
	if err := measureRestart(out); err != nil {
		return err
	}
	if err := measureBudgets(out); err != nil {
		return err
	}
	if err := measureLeases(ctx, out); err != nil {
		return err
	}
	measureClaims(out)
	return nil
}

// counted counts what goes through a journal.
type counted struct {
	poplar.Journal
	bytes, syncs atomic.Int64
}

func (c *counted) Append(records ...[]byte) error {
	for _, r := range records {
		c.bytes.Add(int64(len(r)))
	}
	return c.Journal.Append(records...)
}

func (c *counted) Sync() error {
	c.syncs.Add(1)
	return c.Journal.Sync()
}

// ledgerLink carries copies to one backup.
type ledgerLink struct{ backup *holder.Replica }

var errLedgerLink = poplar.Failf(poplar.StepPeer, poplar.CodeUnreachable, "there is one domain only")

func (l *ledgerLink) Copy(ctx context.Context, _ poplar.Daemon, r ledger.CopyRequest) (ledger.CopyReply, error) {
	return l.backup.ServeCopy(ctx, r)
}

func (l *ledgerLink) Claim(context.Context, poplar.Domain, ledger.ClaimBatch) (ledger.ClaimBatchReply, error) {
	return ledger.ClaimBatchReply{}, errLedgerLink
}

func (l *ledgerLink) Forward(context.Context, poplar.Domain, holder.Call) (poplar.Grant, error) {
	return poplar.Grant{}, errLedgerLink
}

// openLedger starts a daemon's ledger in a new folder below path.
func openLedger(path, name string, peers holder.Peers) (*holder.Replica, *counted, func(), error) {
	full := filepath.Join(path, name)
	if err := os.Mkdir(full, 0o700); err != nil {
		return nil, nil, nil, err
	}
	folder, err := disk.OpenFolder(full)
	if err != nil {
		return nil, nil, nil, err
	}
	journal, recovered, err := disk.Open(folder, "ledger")
	if err != nil {
		return nil, nil, nil, err
	}
	c := &counted{Journal: journal}
	h, err := holder.Start(holder.Config{
		Domain: "d", Self: poplar.Daemon(name), Disk: 1, Journal: c, Clock: poplar.System{}, Peers: peers,
		Snapshot: recovered.Snapshot(), Records: recovered.Records(), Tick: time.Second,
	})
	if err != nil {
		return nil, nil, nil, err
	}
	closing := func() {
		_ = h.Close()
		_ = journal.Close()
		_ = folder.Close()
	}
	return h, c, closing, nil
}

// ledgerWay is one way to keep a ledger durable.
type ledgerWay struct {
	name string
	pair bool
	// each makes every call wait for its own sync.
	each bool
}

func (w ledgerWay) measure(ctx context.Context, out *Sheet) error {
	path, err := os.MkdirTemp("", "ledger")
	if err != nil {
		return err
	}
	defer os.RemoveAll(path)
	link := &ledgerLink{}
	primary, count, closing, err := openLedger(path, "a", link)
	if err != nil {
		return err
	}
	defer closing()
	pair := holder.Pair{Epoch: 1, Primary: holder.Member{Name: "a"}}
	if w.pair {
		backup, _, closeBackup, err := openLedger(path, "b", nil)
		if err != nil {
			return err
		}
		defer closeBackup()
		link.backup = backup
		pair.Backup = holder.Member{Name: "b"}
	}
	share := ledger.Share{Budget: "budget", Serial: 1, Issued: 1 << 50}
	if err := primary.Follow(ctx, holder.Update{Pair: pair, Shares: []ledger.Share{share}}); err != nil {
		return err
	}
	load := &ledgerLoad{holder: primary, each: w.each, until: time.Now().Add(ledgerTime)}
	return load.measure(ctx, w.name, count, out)
}

// ledgerLoad is many routers that reserve and settle.
type ledgerLoad struct {
	holder *holder.Replica
	each   bool
	until  time.Time

	one    sync.Mutex // held over a call when each is set
	mu     sync.Mutex
	delays *hdrhistogram.Histogram // guarded by mu; microseconds
	failed error                   // guarded by mu
	wait   sync.WaitGroup
}

func (l *ledgerLoad) measure(ctx context.Context, name string, count *counted, out *Sheet) error {
	l.delays = hdrhistogram.New(1, 60_000_000, 3)
	bytes, syncs := count.bytes.Load(), count.syncs.Load()
	begin := time.Now()
	for i := range ledgerRouters {
		l.wait.Add(1)
		go l.runRouter(ctx, i)
	}
	l.wait.Wait()
	if l.failed != nil {
		return l.failed
	}
	spent := time.Since(begin).Seconds()
	requests := float64(l.delays.TotalCount())
	if l.each {
		out.Note("ledger."+name+".rate", requests/spent, "reserve+settle/s")
	} else {
		out.AtLeast("ledger."+name+".rate", requests/spent, "reserve+settle/s", ledgerRate)
	}
	out.Note("ledger."+name+".reserve.p50", float64(l.delays.ValueAtQuantile(50))/1000, "ms")
	out.Note("ledger."+name+".reserve.p99", float64(l.delays.ValueAtQuantile(99))/1000, "ms")
	out.Note("ledger."+name+".bytes", float64(count.bytes.Load()-bytes)/requests, "bytes synced/request")
	out.Note("ledger."+name+".syncs", float64(count.syncs.Load()-syncs)/requests, "syncs/request")
	return nil
}

func (l *ledgerLoad) runRouter(ctx context.Context, router int) {
	defer l.wait.Done()
	for i := 0; time.Now().Before(l.until); i++ {
		key := poplar.Key(fmt.Sprintf("key-%d-%d", router, i))
		if err := l.request(ctx, key); err != nil {
			l.mu.Lock()
			l.failed = err
			l.mu.Unlock()
			return
		}
	}
}

func (l *ledgerLoad) request(ctx context.Context, key poplar.Key) error {
	begin := time.Now()
	err := l.alone(func() error {
		_, err := l.holder.Reserve(ctx, ledgerAsk(key))
		return err
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	err = l.delays.RecordValue(max(1, time.Since(begin).Microseconds()))
	l.mu.Unlock()
	if err != nil {
		return err
	}
	return l.alone(func() error {
		return l.holder.Settle(ctx, poplar.Settlement{
			Workspace: "workspace", Key: key, Attempt: 1, Outcome: poplar.OutcomeDone, Spent: 300,
		})
	})
}

// alone runs a call, by itself when each call has its own sync.
func (l *ledgerLoad) alone(call func() error) error {
	if l.each {
		l.one.Lock()
		defer l.one.Unlock()
	}
	return call()
}

func ledgerAsk(key poplar.Key) poplar.ReserveRequest {
	return poplar.ReserveRequest{
		Workspace: "workspace", Budget: "budget", Caller: "caller", Key: key, Keyed: true, Idempotent: true,
		Digest: 0x1234567812345678, Rank: poplar.Normal, MaxTokens: 1000, Router: "router-1", Upstream: "engine-1",
	}
}

// measureRestart replays records of settled and open requests from a folder in
// memory, so that the processor's part is seen.
func measureRestart(out *Sheet) error {
	files := disk.NewMemory()
	journal, _, err := disk.Open(files, "ledger")
	if err != nil {
		return err
	}
	machine := ledger.New("d", claim.DefaultLimits)
	now := time.Now()
	records := machine.Issue([]ledger.Share{{Budget: "budget", Serial: 1, Issued: 1 << 50}})
	written := 0
	for i := 0; ; i++ {
		for j := range records {
			if err := machine.Apply(&records[j]); err != nil {
				return err
			}
			if err := journal.Append(records[j].Append(nil)); err != nil {
				return err
			}
			written++
		}
		if written >= ledgerRecords {
			break
		}
		records = machine.Reserve(ledgerAsk(poplar.Key(fmt.Sprintf("key-%d", i))), nil, now).Records
	}
	if err := journal.Sync(); err != nil {
		return err
	}
	machine = nil
	before := heapBytes()
	begin := time.Now()
	journal, recovered, err := disk.Open(files, "ledger")
	if err != nil {
		return err
	}
	h, err := holder.Start(holder.Config{
		Domain: "d", Self: "a", Journal: journal, Clock: poplar.System{}, Records: recovered.Records(),
	})
	if err != nil {
		return err
	}
	out.Note("ledger.restart", time.Since(begin).Seconds()*1000, "ms for 100,000 records")
	records, recovered = nil, disk.Recovered{}
	out.Note("ledger.request.memory", float64(heapBytes()-before)/float64(h.Status().Records), "bytes a keyed request and its claim")
	return h.Close()
}

// measureBudgets fills a machine with the budgets of the two-year size.
func measureBudgets(out *Sheet) error {
	before := heapBytes()
	machine := ledger.New("d", claim.DefaultLimits)
	for i := range ledgerBudgets {
		name := poplar.Budget(fmt.Sprintf("workspace-%d/budget-%d", i/10, i))
		records := machine.Issue([]ledger.Share{{Budget: name, Serial: 1, Issued: 1000}})
		if err := machine.Apply(&records[0]); err != nil {
			return err
		}
	}
	used := float64(heapBytes() - before)
	out.AtMost("ledger.budgets.memory", used/(1<<20), "MiB for 81,000 budgets", ledgerMemory>>20)
	out.Note("ledger.budgets.each", used/ledgerBudgets, "bytes a budget with its name")
	begin := time.Now()
	snapshot := machine.Snapshot()
	out.Note("ledger.snapshot.time", time.Since(begin).Seconds()*1000, "ms for 81,000 budgets")
	out.Note("ledger.snapshot.size", float64(len(snapshot))/(1<<20), "MiB for 81,000 budgets")
	runtime.KeepAlive(machine)
	return nil
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
