package edge

import (
	"net/http"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conns"
)

// This file holds which headers pass the router.

// strippedHeaders are those that the router sets or uses itself. A caller's
// credentials never reach an upstream.
var strippedHeaders = []string{
	"Authorization", "Cookie", "Expect", headerKey, poplar.HeaderRequest, poplar.HeaderAttempt, poplar.HeaderRank,
	poplar.HeaderResume, "Traceparent", "Tracestate",
}

// forwardedHeader returns the headers of h that go through.
func forwardedHeader(h http.Header) http.Header {
	out := conns.EndToEnd(h)
	for _, name := range strippedHeaders {
		delete(out, name)
	}
	return out
}

// responseHeader returns the headers of an upstream's answer for the caller.
func responseHeader(h http.Header) http.Header { return forwardedHeader(h) }
