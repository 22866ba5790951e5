package meter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarbend.example/poplar/internal/fake"
)

// This file holds the cost of a daemon on the path of a request, beside a bare
// reverse proxy and beside the stand-in called directly, in one run.

var _ = Add("overhead", Overhead)

const (
	overheadCores   = 4
	overheadWorkers = 4                      // side by side while times are taken
	overheadRounds  = 12                     // slices of time for each way
	overheadSlice   = 500 * time.Millisecond // the ways take turns
	rateWorkers     = 128                    // side by side while requests are counted
	rateTime        = 4 * time.Second
	rateTarget      = 5000.0 // requests a second
	ratioTarget     = 2.0    // times the bare proxy's added time
	openStreams     = 1000
	overheadPrompt  = `{"model":"small","prompt":"Which depot has sandbags left?","max_tokens":4,"stream":true}`
	memoryPrompt    = `{"model":"small","prompt":"Draft the briefing.","max_tokens":1000,"stream":true}`
	histogramMost   = int64(time.Minute)
	histogramDigits = 3
)

// way is one way from a caller to the stand-in.
type way struct {
	name   string
	url    string
	client *http.Client
	first  *hdrhistogram.Histogram // invariant: times to the first byte, in nanoseconds
}

// Overhead measures the added time to the first byte, the requests a second
// and the memory of open streams. The load, the stand-in and the router share
// the cores.
func Overhead(ctx context.Context, out *Sheet) error {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(overheadCores))
	engine, err := fake.StartEngine(fake.Settings{Name: "engine", Domain: bed, Slots: 4096})
	if err != nil {
		return err
	}
	defer engine.Kill()
	proxy, err := startProxy(engine.Address())
	if err != nil {
		return err
	}
	defer proxy.Close()
	router, err := startRouter(ctx, "router", engine)
	if err != nil {
		return err
	}
	defer router.close()
	diskless, err := startDiskless(ctx, "diskless", engine)
	if err != nil {
		return err
	}
	defer diskless.close()
	ways := []*way{
		newWay("direct", engine.Address()),
		newWay("proxy", proxy.address),
		newWay("daemon", router.address),
		newWay("daemon without a disk", diskless.address),
	}
	defer closeWays(ways)
	if err := overheadTimes(ctx, out, ways); err != nil {
		return err
	}
	noteSync(out, router)
	if err := overheadRates(ctx, out, ways[:3]); err != nil {
		return err
	}
	return overheadMemory(ctx, out)
}

func newWay(name, address string) *way {
	return &way{
		name: name, url: "http://" + address + "/v1/completions",
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * openStreams}},
		first:  hdrhistogram.New(1, histogramMost, histogramDigits),
	}
}

func closeWays(ways []*way) {
	for _, w := range ways {
		w.client.CloseIdleConnections()
	}
}

// overheadTimes takes the times to the first byte; the ways take turns, so that
// a change of the machine's load meets all of them.
func overheadTimes(ctx context.Context, out *Sheet, ways []*way) error {
	for round := range overheadRounds + 1 {
		for _, w := range ways {
			if round == 1 {
				w.first.Reset() // the first round warms up
			}
			if _, err := drive(ctx, w, overheadWorkers, overheadSlice); err != nil {
				return err
			}
		}
	}
	for _, w := range ways {
		out.Note("first byte p50 "+w.name, micros(w.first.ValueAtQuantile(50)), "us")
		out.Note("first byte p99 "+w.name, micros(w.first.ValueAtQuantile(99)), "us")
	}
	for _, q := range []float64{50, 99} {
		base := micros(ways[0].first.ValueAtQuantile(q))
		bare := micros(ways[1].first.ValueAtQuantile(q)) - base
		own := micros(ways[2].first.ValueAtQuantile(q)) - base
		name := fmt.Sprintf("added p%g", q)
		out.Note(name+" proxy", bare, "us")
		out.Note(name+" daemon", own, "us")
		noDisk := micros(ways[3].first.ValueAtQuantile(q)) - base
		out.Note(name+" daemon without a disk over proxy", noDisk/bare, "ratio")
		if q == 50 {
			out.AtMost(name+" daemon over proxy", own/bare, "ratio", ratioTarget)
		} else {
			out.Note(name+" daemon over proxy", own/bare, "ratio")
		}
	}
	return nil
}

func micros(nanoseconds int64) float64 { return float64(nanoseconds) / 1000 }

func overheadRates(ctx context.Context, out *Sheet, ways []*way) error {
	for _, w := range ways {
		if _, err := drive(ctx, w, rateWorkers, time.Second); err != nil {
			return err
		}
		n, err := drive(ctx, w, rateWorkers, rateTime)
		if err != nil {
			return err
		}
		rate := float64(n) / rateTime.Seconds()
		if w.name == "daemon" {
			out.AtLeast("requests "+w.name, rate, "1/s", rateTarget)
		} else {
			out.Note("requests "+w.name, rate, "1/s")
		}
	}
	return nil
}

// load is a closed loop of callers.
type load struct {
	way   *way
	until time.Time
	count atomic.Int64
	wait  sync.WaitGroup

	mu     sync.Mutex
	failed error // invariant: guarded by mu; the first error
}

// drive sends requests from workers for a time and returns how many were
// answered whole.
func drive(ctx context.Context, w *way, workers int, d time.Duration) (int64, error) {
	l := &load{way: w, until: time.Now().Add(d)}
	parts := make([]*hdrhistogram.Histogram, workers)
	for i := range parts {
		parts[i] = hdrhistogram.New(1, histogramMost, histogramDigits)
		l.wait.Add(1)
		go l.runCaller(ctx, parts[i])
	}
	l.wait.Wait()
	for _, part := range parts {
		w.first.Merge(part)
	}
	return l.count.Load(), l.failed
}

func (l *load) runCaller(ctx context.Context, times *hdrhistogram.Histogram) {
	defer l.wait.Done()
	for time.Now().Before(l.until) && ctx.Err() == nil {
		first, err := l.way.ask(ctx, overheadPrompt)
		if err == nil {
			err = times.RecordValue(int64(first))
		}
		if err != nil {
			l.fail(err)
			return
		}
		l.count.Add(1)
	}
}

func (l *load) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = fmt.Errorf("%s: %w", l.way.name, err)
	}
}

var errNotWhole = errors.New("the answer is not whole")

// ask sends one request, reads the answer to its end and returns the time to
// its first byte.
func (w *way) ask(ctx context.Context, body string) (time.Duration, error) {
	start := time.Now()
	answer, err := w.send(ctx, body)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	var all [4096]byte
	n, err := answer.Body.Read(all[:1])
	first := time.Since(start)
	for err == nil && n < len(all) {
		var more int
		more, err = answer.Body.Read(all[n:])
		n += more
	}
	if !errors.Is(err, io.EOF) || answer.StatusCode != http.StatusOK || !bytes.HasSuffix(all[:n], []byte("[DONE]\n\n")) {
		return 0, fmt.Errorf("%w: status %d: %s: %w", errNotWhole, answer.StatusCode, all[:min(n, 300)], err)
	}
	return first, nil
}

func (w *way) send(ctx context.Context, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+bedKey)
	r.Header.Set("Content-Type", "application/json")
	return w.client.Do(r)
}

// noteSync writes what one sync of the ledger's folder takes.
func noteSync(out *Sheet, r *router) {
	times := r.files.times()
	out.Note("ledger sync p50", micros(times.ValueAtQuantile(50)), "us")
	out.Note("ledger sync p99", micros(times.ValueAtQuantile(99)), "us")
}

// overheadMemory opens streams at a slow stand-in, once directly and once
// through a daemon; the difference is the daemon's.
func overheadMemory(ctx context.Context, out *Sheet) error {
	engine, err := fake.StartEngine(fake.Settings{
		Name: "slow", Domain: bed, Slots: 16 * openStreams, Step: 100 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer engine.Kill()
	r, err := startRouter(ctx, "memory", engine)
	if err != nil {
		return err
	}
	defer r.close()
	direct, err := memoryOf(ctx, newWay("direct", engine.Address()))
	if err != nil {
		return err
	}
	through, err := memoryOf(ctx, newWay("daemon", r.address))
	if err != nil {
		return err
	}
	out.Note("memory of 1,000 open streams", (through-direct)/(1<<20), "MB")
	return nil
}

// memoryOf returns the bytes that open streams hold in the process.
func memoryOf(ctx context.Context, w *way) (float64, error) {
	defer w.client.CloseIdleConnections()
	before := heapAndStack()
	c := &streamSet{way: w}
	defer c.close()
	for range openStreams / openEach {
		c.wait.Add(1)
		go c.runOpen(ctx)
	}
	c.wait.Wait()
	if c.failed != nil {
		return 0, c.failed
	}
	return heapAndStack() - before, nil
}

// openEach is the number of streams that one goroutine opens.
const openEach = 10

// streamSet opens many streams and reads none to its end.
type streamSet struct {
	way  *way
	wait sync.WaitGroup

	mu     sync.Mutex
	open   []*http.Response // invariant: guarded by mu
	failed error            // invariant: guarded by mu; the first error
}

func (c *streamSet) runOpen(ctx context.Context) {
	defer c.wait.Done()
	for range openEach {
		answer, err := c.way.send(ctx, memoryPrompt) //nolint:bodyclose // close does
		c.take(answer, err)
		if err != nil {
			return
		}
	}
}

func (c *streamSet) take(answer *http.Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer != nil {
		c.open = append(c.open, answer) //nolint:bodyclose // close does
		if answer.StatusCode != http.StatusOK {
			err = fmt.Errorf("%w: status %d", errNotWhole, answer.StatusCode)
		}
	}
	if c.failed == nil {
		c.failed = err
	}
}

func (c *streamSet) close() {
	for _, answer := range c.open {
		answer.Body.Close()
	}
}

func heapAndStack() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// bareProxy is the proxy of the standard library with one target.
type bareProxy struct {
	proxy   *httputil.ReverseProxy
	server  *http.Server
	address string
	wait    sync.WaitGroup
	bound   net.Listener
}

func startProxy(target string) (*bareProxy, error) {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	handler := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	handler.Transport = &http.Transport{MaxIdleConnsPerHost: 2 * openStreams}
	p := &bareProxy{
		proxy:   handler,
		server:  &http.Server{ReadHeaderTimeout: time.Second},
		address: bound.Addr().String(), bound: bound,
	}
	p.server.Handler = http.HandlerFunc(p.serve)
	p.wait.Add(1)
	go p.run()
	return p, nil
}

// serve passes a request on. Without full duplex the server may close the
// request's body while the proxy's transport still looks for its end, which
// breaks the answer now and then.
func (p *bareProxy) serve(w http.ResponseWriter, r *http.Request) {
	// HTTP/1 always allows it.
	_ = http.NewResponseController(w).EnableFullDuplex()
	p.proxy.ServeHTTP(w, r)
}

func (p *bareProxy) run() {
	defer p.wait.Done()
	// Serve returns the expected error after Close.
	_ = p.server.Serve(p.bound)
}

// Close ends the proxy.
func (p *bareProxy) Close() {
	p.server.Close()
	p.wait.Wait()
}
