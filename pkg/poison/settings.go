package poison

import "time"

// Settings control how long requests that crash upstreams are restricted.
type Settings struct {
	// Refuse is how long a fingerprint is refused after its second crash.
	Refuse time.Duration `json:"refuse"`
	// Suspect is how long a fingerprint stays suspect after its first crash. It
	// also bounds how long a fingerprint is refused when another suspect may
	// have caused both crashes.
	Suspect time.Duration `json:"suspect"`
}

// DefaultSettings returns the settings used when the operator configures none.
func DefaultSettings() Settings {
	return Settings{Refuse: time.Hour, Suspect: 10 * time.Minute}
}
