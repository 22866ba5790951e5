package peer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/peer/wire"
)

// This file holds the server side of the peer protocol.

const requestMaximum = 16 << 20 // bytes

// NewServer returns the handler of self's peer listener. When token is not
// empty every call must carry it; the comparison takes constant time.
func NewServer(self poplar.Daemon, token string, methods Methods) http.Handler {
	inner := wire.NewPeerServer(&server{self: self, methods: methods})
	return &guard{token: sha256.Sum256([]byte(token)), open: token == "", next: inner}
}

// guard refuses calls without the credential and bounds their size.
type guard struct {
	token [sha256.Size]byte
	open  bool
	next  http.Handler
}

// ServeHTTP implements http.Handler.
func (g *guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !g.open && !g.admits(r) {
		http.Error(w, "the peer credential is missing or wrong", http.StatusUnauthorized)
		return
	}
	w.Header()["Date"] = nil // peers do not read it
	r.Body = http.MaxBytesReader(w, r.Body, requestMaximum)
	g.next.ServeHTTP(w, r)
}

func (g *guard) admits(r *http.Request) bool {
	given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(given))
	return subtle.ConstantTimeCompare(sum[:], g.token[:]) == 1
}
