package route

import "time"

// Defaults for the capacities that an Offer omits.
const (
	DefaultSlots       = 16
	DefaultPrefill     = 8000.0 // prompt tokens per second
	DefaultServiceTime = 2.0    // seconds
)

// Settings configure the choice of upstreams.
type Settings struct {
	// SampleSize is the number of upstreams sampled at random from the local
	// failure domain, and again from the others, in addition to those that cache
	// a prefix of the prompt. At least 1.
	SampleSize int `json:"choices"`
	// RemotePenalty is the time by which an upstream of another failure domain
	// must be faster than a local one to be chosen.
	RemotePenalty time.Duration `json:"spill"`
	// MaxReportAge is the maximum age of a load report; older ones are ignored.
	MaxReportAge time.Duration `json:"stale"`
	// Headroom is the fraction by which urgent requests may exceed an
	// upstream's limit, at least 0. Engines run urgent requests first.
	Headroom float64 `json:"headroom"`
	// BulkReserve is the fraction of an upstream's limit that bulk requests
	// leave free, in [0, 1).
	BulkReserve float64 `json:"spare"`
}

// DefaultSettings returns the settings used when the operator sets none.
func DefaultSettings() Settings {
	return Settings{
		SampleSize:    8,
		RemotePenalty: 20 * time.Millisecond,
		MaxReportAge:  10 * time.Second,
		Headroom:      0.1,
		BulkReserve:   0.1,
	}
}
