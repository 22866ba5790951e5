package poison

import "time"

// Settings control how long requests that crash upstreams are restricted.
type Settings struct {
	// RefuseDuration is how long a fingerprint is refused after its second
	// crash.
	RefuseDuration time.Duration `json:"refuse"`
	// SuspectDuration is how long a fingerprint remains suspect after its first
	// crash. It also bounds how long a fingerprint is refused when another
	// suspect may have caused both crashes.
	SuspectDuration time.Duration `json:"suspect"`
}

// DefaultSettings returns the settings used when the operator configures none.
func DefaultSettings() Settings {
	return Settings{RefuseDuration: time.Hour, SuspectDuration: 10 * time.Minute}
}
