package edge

import (
	"net/http"
	"strings"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// This file holds authentication. A caller's key is used here only.

const (
	headerAuth   = "Authorization"
	headerKey    = "Idempotency-Key"
	maxKeyLength = 255
)

// singleHeader returns the only value of a header, or "" when it is missing. A
// doubled header is refused, since the parts of the fleet might not read the
// same one.
func singleHeader(h http.Header, name string) (string, error) {
	values := h[name]
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", refuse(poplar.StepParse, poplar.CodeInvalid, "header %s stands %d times", name, len(values))
	}
	return values[0], nil
}

// refuse returns an error for a request that no upstream has seen.
func refuse(step poplar.Step, code poplar.Code, format string, args ...any) *poplar.Error {
	return poplar.Failf(step, code, format, args...).Ran(poplar.RunNo)
}

// authenticate returns the caller that the request's key belongs to.
func authenticate(policy *conf.Policy, h http.Header) (*conf.Caller, error) {
	value, err := singleHeader(h, headerAuth)
	if err != nil {
		return nil, err
	}
	scheme, key, ok := strings.Cut(value, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil, refuse(poplar.StepAuth, poplar.CodeAuth, "want the header Authorization: Bearer KEY")
	}
	caller, ok := policy.Caller(strings.TrimSpace(key))
	if !ok {
		return nil, refuse(poplar.StepAuth, poplar.CodeAuth, "the key belongs to no caller")
	}
	return caller, nil
}
