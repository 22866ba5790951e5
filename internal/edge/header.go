package edge

import (
	"net/http"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conns"
)

// Headers are filtered in both directions between caller and upstream.

// strippedHeaders lists the headers that the router sets or consumes itself.
// The credentials of a caller never reach an upstream.
var strippedHeaders = []string{
	"Authorization", "Cookie", "Expect", headerIdempotencyKey, poplar.HeaderRequest, poplar.HeaderAttempt, poplar.HeaderRank,
	poplar.HeaderResume, "Traceparent", "Tracestate",
}

// forwardedHeader returns the headers of h that are forwarded.
func forwardedHeader(h http.Header) http.Header {
	out := conns.EndToEnd(h)
	for _, name := range strippedHeaders {
		delete(out, name)
	}
	return out
}

// responseHeader returns the headers of an upstream response that the caller
// receives.
func responseHeader(h http.Header) http.Header { return forwardedHeader(h) }
