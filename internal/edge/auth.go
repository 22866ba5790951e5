package edge

import (
	"net/http"
	"strings"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// Authentication is the only place where a caller's API key is used.

const (
	headerAuth              = "Authorization"
	headerIdempotencyKey    = "Idempotency-Key"
	maxIdempotencyKeyLength = 255
)

// singleHeader returns the only value of a header, or "" if it is missing. A
// repeated header is refused because different parts of the fleet might read
// different values.
func singleHeader(h http.Header, name string) (string, error) {
	values := h[name]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", refuse(poplar.StepParse, poplar.CodeInvalid, "header %s occurs %d times", name, len(values))
	}
	return values[0], nil
}

// refuse returns an error for a request that no upstream has seen.
func refuse(step poplar.Step, code poplar.Code, format string, args ...any) *poplar.Error {
	return poplar.Failf(step, code, format, args...).Ran(poplar.RunNo)
}

// authenticate returns the caller that owns the API key of the request.
func authenticate(policy *conf.Policy, h http.Header) (*conf.Caller, error) {
	value, err := singleHeader(h, headerAuth)
	if err != nil {
		return nil, err
	}
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil, refuse(poplar.StepAuth, poplar.CodeAuth, "the request needs the header Authorization: Bearer KEY")
	}
	caller, ok := policy.Caller(strings.TrimSpace(key))
	if !ok {
		return nil, refuse(poplar.StepAuth, poplar.CodeAuth, "no caller has this API key")
	}
	return caller, nil
}
