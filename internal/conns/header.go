package conns

import (
	"maps"
	"net/http"
	"strings"
)

// This file holds which headers go beyond one connection.

// hopHeaders hold for one connection only, by RFC 9110, section 7.6.1, and the
// length, which follows from the body that is sent.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns a copy of h without what holds for one connection only. The
// values are shared.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	maps.Copy(out, h)
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}
