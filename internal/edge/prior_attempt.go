package edge

import "poplarbend.example/poplar"

// A keyed request may have run before, and only the ledger knows. The ledger is
// asked before the request queues or is refused: a stored response is replayed,
// an abandoned stream is resumed, and the run state "no" is reported only if it
// is true.

// joinPriorAttempt continues an earlier attempt of the request. It reports
// false if there was none; then nothing stays reserved.
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

// abandon releases an attempt that was not dispatched.
func (c *call) abandon(grant poplar.Grant) {
	a := &attempt{call: c, grant: grant, reserved: grant.Reserved}
	a.finish()
	if c.noPriorRun {
		c.lastAbandoned = grant.Attempt
	}
}

// noUpstream ends a request for which no upstream was found, unless an earlier
// attempt can be continued.
func (c *call) noUpstream(refused error) error {
	if !c.keyed || c.ctx.Err() != nil {
		return c.finalError(refused, false)
	}
	if found, err := c.joinPriorAttempt(); found {
		return err
	}
	return c.finalError(refused, false)
}
