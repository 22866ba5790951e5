package shed

import "time"

const (
	// usageSpan is the time over which the utilization is measured.
	usageSpan  = time.Second
	usageSlots = 10
	slotSpan   = usageSpan / usageSlots
	// recentSlots is the number of slots that show a rise of the load. They cover a burst of
	// a few requests.
	recentSlots = 4
)

// Usage counts the bytes of the last second.
type Usage struct {
	slots  [usageSlots]float64 // invariant: a ring; bytes in each slotSpan
	sum    float64             // invariant: sum of slots
	next   int                 // invariant: index of the current slot
	endsAt time.Time           // invariant: end of the current slot
}

// Add counts bytes.
func (u *Usage) Add(bytes float64, now time.Time) {
	u.advance(now)
	u.slots[u.next] += bytes
	u.sum += bytes
}

// Rate returns the bytes per second.
func (u *Usage) Rate(now time.Time) float64 {
	u.advance(now)
	return max(0, u.sum/usageSpan.Seconds())
}

// Recent returns the bytes per second of the last recentSlots whole slots.
func (u *Usage) Recent(now time.Time) float64 {
	u.advance(now)
	sum := 0.0
	for i := range recentSlots {
		sum += u.slots[(u.next+usageSlots-1-i)%usageSlots]
	}
	return max(0, sum/(recentSlots*slotSpan).Seconds())
}

// advance empties the slots that have become too old.
func (u *Usage) advance(now time.Time) {
	if now.Sub(u.endsAt) >= usageSpan {
		*u = Usage{endsAt: now.Add(slotSpan)}
		return
	}
	for !now.Before(u.endsAt) {
		u.next = (u.next + 1) % usageSlots
		u.sum -= u.slots[u.next]
		u.slots[u.next] = 0
		u.endsAt = u.endsAt.Add(slotSpan)
	}
}
