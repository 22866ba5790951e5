package limit

import "time"

// Settings are the settings of the limits and ejections.
type Settings struct {
	// Tolerance is the ratio of the measured to the predicted time to first
	// token above which the limit is decreased.
	Tolerance float64 `json:"tolerance"`
	// Failures is the number of consecutive failures after which an upstream is
	// ejected.
	Failures int `json:"failures"`
	// Outlier is the multiple of the median slowdown of its group at which an
	// upstream is ejected.
	Outlier float64 `json:"outlier"`
	// Share is the maximum share of a group that may be ejected at one time.
	// The number of upstreams is rounded down.
	Share float64 `json:"share"`
	// Eject is the duration of a first ejection. Each further ejection doubles
	// it.
	Eject time.Duration `json:"eject"`
	// Longest is the maximum duration of an ejection.
	Longest time.Duration `json:"longest"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Tolerance: 2,
		Failures:  5,
		Outlier:   3,
		Share:     0.34,
		Eject:     5 * time.Second,
		Longest:   time.Minute,
	}
}

// Period is the interval between two calls of Fleet.Update.
const Period = 250 * time.Millisecond
