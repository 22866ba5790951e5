package poplar

// This file holds the identifiers that the parts of the fleet share.

// Domain names a failure domain.
type Domain string

// Daemon names one process of the fleet. The name is stable over restarts.
type Daemon string

// Upstream names one back end. The name is chosen by the upstream.
type Upstream string

// Workspace names a tenant. All spending of a workspace is prepaid.
type Workspace string

// Caller names one credential holder inside a workspace.
type Caller string

// Budget names one prepaid token budget. A budget belongs to one workspace;
// its full name is unique over the fleet.
type Budget string

// Model names a model, or an adapter of one, that engines may serve.
type Model string

// Service names a plain service.
type Service string

// Key identifies a request inside its workspace. A caller chooses it with the
// Idempotency-Key header; otherwise the router generates a unique one.
type Key string

// Tokens counts tokens, the unit of all budgets.
type Tokens int64

// Term numbers the elections of the replicated log.
type Term uint64

// Index numbers the entries of the replicated log, from 1.
type Index uint64

// Epoch numbers the configurations of a ledger: which daemons hold it.
// A higher epoch always wins over a lower one.
type Epoch uint64

// Revision numbers the configuration changes, from 1. Revision 0 is the empty
// configuration.
type Revision uint64

// Fence numbers the orders to upstreams. An upstream that checks fences
// refuses an order with a lower number than one it has seen.
type Fence uint64

// Attempt numbers the dispatches of one request, from 1.
type Attempt uint32

// Request identifies a request over the whole fleet.
type Request struct {
	workspace Workspace
	key       Key
}

// NewRequest returns the identity of the request with the given key in
// workspace. The same key in another workspace is another request.
func NewRequest(workspace Workspace, key Key) Request {
	return Request{workspace: workspace, key: key}
}

// Workspace returns the workspace that the request belongs to.
func (r Request) Workspace() Workspace { return r.workspace }

// Key returns the key of the request inside its workspace.
func (r Request) Key() Key { return r.key }

// String returns workspace and key for logs, joined by a slash.
func (r Request) String() string { return string(r.workspace) + "/" + string(r.key) }
