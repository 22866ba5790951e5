package peer

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"poplarbend.example/poplar"
)

// This file holds the translation of poplar.Error to and from twirp errors.

// Names of the metadata of a twirp error.
const (
	metaStep  = "step"
	metaPeer  = "peer"
	metaCode  = "code"
	metaRun   = "run"
	metaRetry = "retry"
)

// pack returns err as a twirp error that unpack can restore.
func pack(err error) error {
	var e *poplar.Error
	if !errors.As(err, &e) {
		e = poplar.Fail(poplar.StepPeer, poplar.CodeInternal, err)
	}
	message := string(e.Code())
	if cause := e.Unwrap(); cause != nil {
		message = cause.Error()
	}
	t := twirp.NewError(twirp.FailedPrecondition, message).
		WithMeta(metaStep, string(e.Step())).
		WithMeta(metaPeer, e.Peer()).
		WithMeta(metaCode, string(e.Code())).
		WithMeta(metaRun, e.Run().String())
	if !e.Retry().IsZero() {
		t = t.WithMeta(metaRetry, e.Retry().Format(time.RFC3339Nano))
	}
	return t
}

// unpack restores the error that the peer to packed. An error that arose on
// the way has code CodeUnreachable or CodeTimeout. Its run state is unknown, since the
// peer may have acted, unless the call never got a connection.
func unpack(err error, to poplar.Daemon, connected bool) error {
	var t twirp.Error
	if errors.As(err, &t) && t.Meta(metaCode) != "" {
		return unpackMeta(t, to)
	}
	code := poplar.CodeUnreachable
	if errors.Is(err, context.DeadlineExceeded) {
		code = poplar.CodeTimeout
	}
	e := poplar.Fail(poplar.StepPeer, code, err).At(string(to))
	if !connected {
		e = e.Ran(poplar.RunNo)
	}
	return e
}

func unpackMeta(t twirp.Error, to poplar.Daemon) error {
	var run poplar.RunState
	if err := run.UnmarshalText([]byte(t.Meta(metaRun))); err != nil {
		run = poplar.RunUnknown
	}
	e := poplar.Fail(poplar.Step(t.Meta(metaStep)), poplar.Code(t.Meta(metaCode)), errors.New(t.Msg())).Ran(run)
	e = e.At(t.Meta(metaPeer))
	if e.Peer() == "" {
		e = e.At(string(to))
	}
	if retry, err := time.Parse(time.RFC3339Nano, t.Meta(metaRetry)); err == nil {
		e = e.After(retry)
	}
	return e
}
