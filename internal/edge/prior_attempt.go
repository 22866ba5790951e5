package edge

import "poplarbend.example/poplar"

// This file holds the look back at earlier attempts of a keyed request. Only
// the ledger knows whether one ran, so it is asked before the request queues
// or is refused: a kept answer is given, a stream that was left open is
// resumed, and "not run" is said only when it is true.

// joinPriorAttempt takes up what an earlier attempt left. It reports false when there
// was none; nothing is reserved then.
func (c *call) joinPriorAttempt() (bool, error) {
	limit := c.edge.conf.Clock.Now().Add(c.edge.conf.Bounds.Wait)
	for pause := minWait; ; pause = min(2*pause, maxWait) {
		grant, err := c.reserve("")
		if err != nil {
			return true, c.reserveError(err)
		}
		switch grant.Verdict {
		case poplar.VerdictReplay:
			return true, c.replay(grant)
		case poplar.VerdictResume:
			return true, c.execute(grant, nil)
		case poplar.VerdictRun:
			c.abandon(grant)
			return false, nil
		}
		if err := c.awaitPriorAttempt(grant, limit, pause); err != nil {
			return true, err
		}
	}
}

// abandon gives up an attempt of which nothing was handed over.
func (c *call) abandon(grant poplar.Grant) {
	a := &attempt{call: c, grant: grant, reserved: grant.Reserved}
	a.finish()
	if c.noPriorRun {
		c.lastAbandoned = grant.Attempt
	}
}

// noUpstream ends a request for which there is no upstream.
func (c *call) noUpstream(refused error) error {
	if !c.keyed || c.ctx.Err() != nil {
		return c.finalError(refused, false)
	}
	if found, err := c.joinPriorAttempt(); found {
		return err
	}
	return c.finalError(refused, false)
}
