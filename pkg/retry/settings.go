package retry

import "time"

// Settings configure retries.
type Settings struct {
	// Ratio is the number of retries earned by each first attempt.
	Ratio float64 `json:"ratio"`
	// Burst is the largest number of retries that a budget accumulates, and the
	// number with which it starts. It is at least 1.
	Burst float64 `json:"burst"`
	// MaxAttempts is the largest number of attempts for one request, including
	// the first.
	MaxAttempts int `json:"attempts"`
	// BaseDelay is the upper bound of the delay before the first retry. It
	// doubles with each further retry.
	BaseDelay time.Duration `json:"base"`
	// MaxDelay bounds the delay before any retry.
	MaxDelay time.Duration `json:"longest"`
}

// DefaultSettings returns the settings used when the operator configures none.
func DefaultSettings() Settings {
	return Settings{
		Ratio:       0.1,
		Burst:       5,
		MaxAttempts: 3,
		BaseDelay:   20 * time.Millisecond,
		MaxDelay:    time.Second,
	}
}
