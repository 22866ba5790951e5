package daemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/holder"
	"poplarbend.example/poplar/internal/loops"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds how tokens that a forced takeover wrote off come back.

// Times of the proof.
const (
	proofPeriod = 10 * time.Second
	proofTime   = 2 * time.Second
)

// proof tells the log what the disk of a lost ledger, once it is back, proves
// to be unspent. The log takes the maximum, so telling it again is harmless.
type proof struct {
	holder *holder.Replica
	domain poplar.Domain
	access access
	log    *log.Logger
}

func (p *proof) loop(ctx context.Context) { loops.Tick(ctx, proofPeriod, nil, p.step) }

func (p *proof) step(ctx context.Context) {
	unspent := p.holder.Proof()
	if len(unspent) == 0 {
		return
	}
	var found state.Found
	for _, u := range unspent {
		found.Shares = append(found.Shares, state.Share{
			Budget: u.Budget, Domain: p.domain, Tokens: u.Tokens, Serial: poplar.Index(u.Serial),
		})
	}
	call, cancel := context.WithTimeout(ctx, proofTime)
	defer cancel()
	if _, err := p.access.Propose(call, state.Encode(state.Command{Found: &found})); err != nil {
		p.log.Warn("unspent tokens of a lost ledger are not told yet", "step", poplar.StepPropose, "err", err)
		return
	}
	p.log.Info("unspent tokens of a lost ledger are back", "budgets", len(unspent))
}
