// Package trace holds what a daemon shows of itself: log lines, spans and
// metrics.
//
// Logs are JSON lines. Spans go to the exporter that the settings choose.
// Metrics are expvar variables. None of the three shows a caller's key: the
// callers of this package never pass one, and a mask removes what looks like
// one all the same.
package trace
