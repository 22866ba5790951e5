package member

import (
	"math"
	"math/bits"

	"poplarbend.example/poplar"
)

// This file implements the compact encoding of load reports. Load reports are
// always slightly out of date, so counts are rounded down to steps of a factor
// of about 1.4, which needs only a few bytes.

const loadBytes = 4

// loadCode encodes the running and waiting requests of each rank as 4-bit
// steps, and the uncached prompt tokens as a power of the square root of 2.
type loadCode [loadBytes]byte

// slotLoad is the load of the catalog entry in a slot.
type slotLoad struct {
	slot int
	code loadCode
}

// steps are the counts that 4 bits can encode.
var steps = [16]int{0, 1, 2, 3, 4, 6, 8, 11, 16, 23, 32, 45, 64, 91, 128, 181}

// stepOf returns the index of the largest step that does not exceed n.
func stepOf(n int) byte {
	i := len(steps) - 1
	for i > 0 && steps[i] > n {
		i--
	}
	return byte(i)
}

func codeOf(l poplar.Load) loadCode {
	var c loadCode
	for i := range poplar.Ranks {
		c[i] = stepOf(l.Running[i])<<4 | stepOf(l.Waiting[i])
	}
	if l.PendingPrefill > 0 {
		c[3] = byte(1 + math.Round(2*math.Log2(float64(l.PendingPrefill))))
	}
	return c
}

// load returns the decoded report.
func (c loadCode) load() poplar.Load {
	var l poplar.Load
	for i := range poplar.Ranks {
		l.Running[i] = steps[c[i]>>4]
		l.Waiting[i] = steps[c[i]&15]
	}
	if exponent := int(c[3]) - 1; exponent >= 0 {
		l.PendingPrefill = poplar.Tokens(math.Exp2(float64(min(exponent, 120)) / 2))
	}
	return l
}

// doublingRounds returns the number of rounds in which a message reaches n
// daemons.
func doublingRounds(n int) int { return bits.Len(uint(max(1, n-1))) }
