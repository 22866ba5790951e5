package proxy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/peer"
	"poplarbend.example/poplar/pkg/shed"
)

// While a router is short of capacity, it asks routers of its failure domain for their
// headroom.

const (
	// headroomPeriod is the interval between two rounds of questions.
	headroomPeriod = 500 * time.Millisecond
	// headroomTimeout limits a question. It is longer than the delay of this router's own
	// link at which it still can divert requests.
	headroomTimeout = time.Second
)

// headroomRequest asks a router for its headroom, and for the tokens that it holds for a
// workspace if one is named.
type headroomRequest struct {
	Workspace poplar.Workspace `json:"for,omitempty"`
}

// headroomResponse answers a headroomRequest.
type headroomResponse struct {
	Domain      poplar.Domain `json:"domain"`
	DelayMillis int64         `json:"delay"` // predicted delay of the link
	Utilization float64       `json:"use"`
	Ready       bool          `json:"ready"`
	Open        int64         `json:"open"` // requests in progress
	// Tokens are those that the router holds for the workspace, and Free what the log has
	// free if the router reaches it.
	Tokens poplar.Tokens `json:"tokens,omitempty"`
	Free   poplar.Tokens `json:"free,omitempty"`
}

// reportHeadroom answers a question of another router.
func (p *Proxy) reportHeadroom(_ context.Context, _ poplar.Daemon, r headroomRequest) (headroomResponse, error) {
	now := time.Now()
	load := p.link.load(now)
	resp := headroomResponse{
		Domain: p.settings.Domain, DelayMillis: load.Delay().Milliseconds(), Utilization: load.Utilization, Ready: p.Ready(), Open: p.openRequests.Load(),
	}
	if v := p.view.Load(); r.Workspace != "" && v.table != nil {
		s := p.wallet.Snapshot(r.Workspace, now)
		resp.Tokens = max(0, s.Ready)
		if p.drawsSucceed.Load() {
			resp.Free = max(0, s.Free)
		}
	}
	return resp, nil
}

// askPeers asks routers for their headroom, without waiting for the answers.
func (p *Proxy) askPeers(workspace poplar.Workspace) {
	routers := slices.Clone(p.view.Load().routers)
	listed := func(address string) bool { _, found := slices.BinarySearch(routers, address); return found }
	l := p.link
	l.mu.Lock()
	l.peers.Forget(listed)
	l.mu.Unlock()
	routers = slices.DeleteFunc(routers, func(a string) bool { return a == p.settings.Address })
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	l.mu.Lock()
	chosen := l.peers.Choose(routers)
	l.mu.Unlock()
	for _, address := range chosen {
		c := &headroomCall{proxy: p, address: address, request: headroomRequest{Workspace: workspace}}
		p.start(c.run)
	}
}

// headroomCall is a question to one router.
type headroomCall struct {
	proxy   *Proxy
	address string
	request headroomRequest
}

func (c *headroomCall) run() {
	p := c.proxy
	p.metrics.peersAsked.Add(1)
	resp, err := peer.CallWithin[headroomRequest, headroomResponse](p.ctx, headroomTimeout, p.pool, peer.Seed(c.address), core.OpHeadroom, c.request)
	now := time.Now()
	l := p.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		p.metrics.peersSilent.Add(1)
		l.peers.Failed(c.address, now)
		return
	}
	l.peers.Answered(c.address, resp.Domain, shed.Report{
		Delay: time.Duration(resp.DelayMillis) * time.Millisecond, Utilization: resp.Utilization, Ready: resp.Ready,
		Workspace: c.request.Workspace, Tokens: resp.Tokens + resp.Free,
	}, now)
	p.noteLender(c.address, c.request.Workspace, resp.Tokens)
}
