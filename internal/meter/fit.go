package meter

import (
	"runtime"
	"time"
)

// This file holds the fit of a slope through measured points, and the readings
// of memory and time behind the points.

// point is one measurement at one size.
type point struct {
	size  float64
	value float64
}

// line is the line of least squares through points.
type line struct {
	slope float64
	start float64 // value at size 0
}

// fit returns the line of least squares. It needs two different sizes.
func fit(points []point) line {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{slope: slope, start: (sy - slope*sx) / n}
}

// at returns the value of the line at a size.
func (l line) at(size float64) float64 { return l.start + l.slope*size }

// weigh returns what build makes and the bytes of heap that it holds.
func weigh[T any](build func() T) (T, float64) {
	before := live()
	made := build()
	after := live()
	runtime.KeepAlive(made)
	return made, float64(after) - float64(before)
}

// live returns the bytes of live objects.
func live() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// clocked returns the seconds that f takes.
func clocked(f func()) float64 {
	start := time.Now()
	f()
	return time.Since(start).Seconds()
}
