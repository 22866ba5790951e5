package poplar

import "errors"

// This file holds the reading of run states from errors.

// RunOf returns the run state of the first Error in err's chain, or RunUnknown.
func RunOf(err error) RunState {
	var e *Error
	if errors.As(err, &e) {
		return e.run
	}
	return RunUnknown
}
