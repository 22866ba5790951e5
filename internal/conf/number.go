package conf

import "time"

// This file holds the numbers of the policy and their defaults.

// Numbers are the numbers by which operators trade one measure for another.
type Numbers struct {
	// Keep is the most bytes of an answer that are kept for a retry.
	Keep int64 `json:"keep"`
	// Reserve is the portion of a request's highest cost that is reserved
	// before it is dispatched; a stream asks for the rest on its way. At 1 no
	// stream ends for want of tokens, but more are refused near the end of a
	// budget; lower values refuse fewer and end some streams early.
	Reserve float64 `json:"reserve"`
	// Retries is the most retries as a portion of requests.
	Retries float64 `json:"retries"`
	// Beat is the longest silence of a stream; a comment is sent after it.
	Beat time.Duration `json:"beat"`
	// Loads is the most loads a minute from the weight store.
	Loads int `json:"loads"`
	// Store is the rate of the weight store in bytes a second.
	Store float64 `json:"store"`
	// Rise is how long the use of a model stays high before another engine is
	// ordered to load it.
	Rise time.Duration `json:"rise"`
	// Fall is how long it stays low before an engine makes room for another model.
	Fall time.Duration `json:"fall"`
	// Stay is how long a model stays loaded at least.
	Stay time.Duration `json:"stay"`
	// Crashes is how many upstreams a request may crash before it is refused.
	// It cannot be set.
	Crashes int `json:"crashes"`
}

// DefaultNumbers returns the numbers of an empty folder.
func DefaultNumbers() Numbers {
	return Numbers{
		Keep: 64 << 10, Reserve: 0.25, Retries: 0.1, Beat: time.Second, Crashes: 2,
		Loads: 4, Store: 1e9, Rise: 10 * time.Second, Fall: 5 * time.Minute, Stay: 10 * time.Minute,
	}
}

// defaultRanks are the rank rules of an empty folder, in the order of ranks.
func defaultRanks() []RankRule {
	return []RankRule{
		{first: 300 * time.Millisecond, worth: 100, floor: 0.5},
		{first: 2 * time.Second, worth: 10, floor: 0.2},
		{first: 30 * time.Minute, worth: 1, floor: 0.1},
	}
}

// setNumbers overlays the numbers of a checked policy object.
func setNumbers(n *node) Numbers {
	numbers := DefaultNumbers()
	numbers.Keep = n.kid("keep").whole(numbers.Keep)
	numbers.Reserve = n.kid("reserve").number(numbers.Reserve)
	numbers.Retries = n.kid("retries").number(numbers.Retries)
	numbers.Beat = n.kid("beat").span(numbers.Beat)
	numbers.Loads = int(n.kid("loads").whole(int64(numbers.Loads)))
	numbers.Store = n.kid("store").number(numbers.Store)
	numbers.Rise = n.kid("rise").span(numbers.Rise)
	numbers.Fall = n.kid("fall").span(numbers.Fall)
	numbers.Stay = n.kid("stay").span(numbers.Stay)
	return numbers
}
