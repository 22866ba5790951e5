package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fault"
)

// This file holds the client of the operators' interface.

// Retries of calls whose answer was lost. A daemon gives up a voter that stands
// still after 2 s, so that the tries span the wait for an operator's answer.
const (
	mostTries = 16
	firstWait = 100 * time.Millisecond
	mostWait  = time.Second
)

// Client calls the operators' listener of one daemon.
type Client struct {
	base  url.URL
	token string // invariant: never logged
	http  *http.Client
}

// Dial returns a client of the daemon at address, an IP number and a port. The
// token is the operators' credential, or "" when there is none. Nothing is sent
// yet.
func Dial(address, token string) (*Client, error) {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	return &Client{base: url.URL{Scheme: "http", Host: address}, token: token, http: &http.Client{}}, nil
}

// Change proposes a revision. It sends the same change again while the outcome
// is unknown.
func (c *Client) Change(ctx context.Context, change Change) (Applied, error) {
	return resend[Applied](ctx, c, "/v1/changes", change)
}

// Topup grants tokens. It sends the same top-up again while the outcome is
// unknown.
func (c *Client) Topup(ctx context.Context, topup Topup) (Topped, error) {
	return resend[Topped](ctx, c, "/v1/topups", topup)
}

// Files returns the folder in force.
func (c *Client) Files(ctx context.Context) (Files, error) {
	return call[Files](ctx, c, http.MethodGet, "/v1/files", nil, nil)
}

// Status returns what the daemon knows of the fleet.
func (c *Client) Status(ctx context.Context, query StatusQuery) (Status, error) {
	q := url.Values{}
	setQuery(q, "budget", string(query.Budget))
	return call[Status](ctx, c, http.MethodGet, "/v1/status", q, nil)
}

// Why returns what is known of a request.
func (c *Client) Why(ctx context.Context, request poplar.Request) (Why, error) {
	q := url.Values{"workspace": {string(request.Workspace())}, "key": {string(request.Key())}}
	return call[Why](ctx, c, http.MethodGet, "/v1/why", q, nil)
}

// Bills returns a page of bills.
func (c *Client) Bills(ctx context.Context, query BillQuery) (Bills, error) {
	q := url.Values{}
	setQuery(q, "workspace", string(query.Workspace))
	setQuery(q, "budget", string(query.Budget))
	setQuery(q, "after", query.After)
	if query.Limit > 0 {
		q.Set("limit", strconv.Itoa(query.Limit))
	}
	return call[Bills](ctx, c, http.MethodGet, "/v1/bills", q, nil)
}

// Drain begins the planned stop of the daemon.
func (c *Client) Drain(ctx context.Context) error {
	_, err := call[nothing](ctx, c, http.MethodPost, "/v1/drain", nil, nothing{})
	return err
}

// Release lets a refused fingerprint run again.
func (c *Client) Release(ctx context.Context, fingerprint string) error {
	_, err := call[nothing](ctx, c, http.MethodPost, "/v1/release", nil, Release{Print: fingerprint})
	return err
}

// setQuery sets a parameter that is not empty.
func setQuery(q url.Values, name, value string) {
	if value != "" {
		q.Set(name, value)
	}
}

// resend posts body until its outcome is known, a few times at most. After a
// try without an answer a later refusal proves nothing about the first one, but
// for a clash: then the number or id belongs to another body.
func resend[Out any](ctx context.Context, c *Client, path string, body any) (Out, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstWait, mostWait
	var doubt error
	out, err := backoff.Retry(ctx, func() (Out, error) {
		out, err := call[Out](ctx, c, http.MethodPost, path, nil, body)
		var e *poplar.Error
		if err == nil || !errors.As(err, &e) {
			return out, err
		}
		if e.Run() == poplar.RunUnknown {
			doubt = err
		}
		if doubt == nil || e.Code() == poplar.CodeConflict {
			return out, backoff.Permanent(err)
		}
		return out, err
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(mostTries))
	if err == nil || doubt == nil || poplar.CodeOf(err) == poplar.CodeConflict {
		return out, err
	}
	return out, c.failed(poplar.CodeUnknown, poplar.RunUnknown, fmt.Errorf("the outcome is unknown: %w", doubt))
}

// call sends one request and decodes the answer. Every error is a
// *poplar.Error.
func call[Out any](ctx context.Context, c *Client, method, path string, query url.Values, body any) (Out, error) {
	var out Out
	raw, err := json.Marshal(body)
	if err != nil {
		return out, c.failed(poplar.CodeInternal, poplar.RunNo, err)
	}
	target := c.base.JoinPath(path)
	target.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(raw))
	if err != nil {
		return out, c.failed(poplar.CodeInternal, poplar.RunNo, err)
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out, c.unsent(method, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, fault.Read(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return out, c.lost(method, err)
	}
	return out, nil
}

// unsent returns the error of a call without an answer. A connection that was
// not made proves that the daemon did not see the call.
func (c *Client) unsent(method string, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return c.failed(poplar.CodeUnreachable, poplar.RunNo, err)
	}
	return c.lost(method, err)
}

// lost returns the error of a call whose answer was lost. A call that only reads
// changed nothing all the same.
func (c *Client) lost(method string, err error) error {
	err = fmt.Errorf("the answer was lost: %w", err)
	if method == http.MethodGet {
		return c.failed(poplar.CodeTimeout, poplar.RunNo, err)
	}
	return c.failed(poplar.CodeUnknown, poplar.RunUnknown, err)
}

func (c *Client) failed(code poplar.Code, run poplar.RunState, err error) error {
	return poplar.Fail(poplar.StepPeer, code, err).At(c.base.Host).Ran(run)
}
