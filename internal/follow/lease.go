package follow

import "poplarbend.example/poplar/pkg/state"

// This file holds the leases that the log has granted, as far as they are known
// here.

// Lease returns the lease of topic; its fence is 0 when none is known.
func (m *Mirror) Lease(topic string) state.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follower.Lease(topic)
}
