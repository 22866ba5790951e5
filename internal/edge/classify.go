package edge

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// Classification determines the rank and the identity of a request.

// requestIDBytes is the length of a request id before hex encoding.
const requestIDBytes = 16

// rankOf returns the rank under which a request runs. A rank that the caller
// may not use is refused rather than silently lowered.
func rankOf(caller *conf.Caller, h http.Header) (poplar.Rank, error) {
	name, err := singleHeader(h, poplar.HeaderRank)
	if err != nil {
		return 0, err
	}
	if name == "" {
		return caller.Rank(), nil
	}
	rank, err := poplar.ParseRank(name)
	if err != nil {
		return 0, poplar.Fail(poplar.StepClass, poplar.CodeInvalid, err).Ran(poplar.RunNo)
	}
	if !caller.Allows(rank) {
		return 0, refuse(poplar.StepClass, poplar.CodeDenied,
			"caller %s of workspace %s may not use rank %s", caller.Name(), caller.Workspace().Name(), rank)
	}
	return rank, nil
}

// idempotencyKeyOf returns the caller's idempotency key, or else a random key
// that no other request carries.
func idempotencyKeyOf(h http.Header) (key poplar.Key, keyed bool, err error) {
	value, err := singleHeader(h, headerIdempotencyKey)
	if err != nil {
		return "", false, err
	}
	if value == "" {
		if _, present := h[headerIdempotencyKey]; present {
			return "", false, refuse(poplar.StepParse, poplar.CodeInvalid, "header %s is empty", headerIdempotencyKey)
		}
		return poplar.Key(uuid.NewString()), false, nil
	}
	if len(value) > maxIdempotencyKeyLength {
		return "", false, refuse(poplar.StepParse, poplar.CodeInvalid,
			"header %s has %d bytes, the limit is %d", headerIdempotencyKey, len(value), maxIdempotencyKeyLength)
	}
	for _, b := range []byte(value) {
		if b < ' ' || b > '~' {
			return "", false, refuse(poplar.StepParse, poplar.CodeInvalid,
				"header %s contains characters other than printable ASCII", headerIdempotencyKey)
		}
	}
	return poplar.Key(value), true, nil
}

// requestID returns the request id that upstreams see. Every daemon derives the
// same id for the same workspace and key.
func requestID(workspace poplar.Workspace, key poplar.Key) string {
	joined := make([]byte, 0, len(workspace)+1+len(key))
	joined = append(joined, workspace...)
	joined = append(joined, 0)
	joined = append(joined, key...)
	sum := sha256.Sum256(joined)
	return hex.EncodeToString(sum[:requestIDBytes])
}

// digestOf returns a hash of the content of a request: method, path, query and
// body.
func digestOf(r *http.Request, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery} {
		// Writes to a hash never fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
