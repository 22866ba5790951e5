package edge

import (
	"context"
	"time"

	"poplarbend.example/poplar/pkg/admit"
)

// A background loop does the work that belongs to no single request.

// maintenancePeriod is the time between two updates of the gates.
const maintenancePeriod = 250 * time.Millisecond

// Run resends pending settlements, updates the gates and removes expired crash
// records, until ctx is done.
func (e *Edge) Run(ctx context.Context) {
	tick := time.NewTicker(maintenancePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			e.maintain()
		case <-e.backlog.wake:
		}
		e.settleBacklog(ctx)
	}
}

func (e *Edge) maintain() {
	now := e.conf.Clock.Now()
	if e.pools != nil {
		e.pools.update(e.conf.Policy(), now)
	}
	e.crashes.sweep(now)
}

// Admission returns the state of the gate of each model and service that was
// requested so far.
func (e *Edge) Admission() map[string]admit.Status {
	if e.pools == nil {
		return nil
	}
	return e.pools.status()
}
