// Package plan defines the complete configuration of a router fleet: routes,
// services, limits on callers' connections, and workspaces with their keys and
// grants. An operator declares a plan under a revision number of the
// operator's choice; the highest revision is in force.
package plan

import (
	"fmt"
	"time"

	"poplarbend.example/poplar"
)

// RequestKind states whether a request may run more than once and whether it is
// answered by a stream of events.
type RequestKind string

// The kinds of requests.
const (
	// KindSafe may run more than once.
	KindSafe RequestKind = "safe"
	// KindUnsafe may run at most once.
	KindUnsafe RequestKind = "unsafe"
	// KindStream is answered by a stream of events and may run at most once.
	KindStream RequestKind = "stream"
	// KindResumable is answered by a stream of events and may be resumed after
	// the last event that arrived.
	KindResumable RequestKind = "resumable"
)

// Repeatable reports whether a request may run at a second upstream.
func (k RequestKind) Repeatable() bool { return k == KindSafe || k == KindResumable }

// Streams reports whether the response is a stream of events.
func (k RequestKind) Streams() bool { return k == KindStream || k == KindResumable }

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service poplar.Service
	Weight  int // invariant: >= 0; the weights of a route sum to more than 0
}

// Route is the rule for the requests to one host under one path prefix.
type Route struct {
	Name            string
	Host            string
	Prefix          string // invariant: begins and ends with a slash
	Kind            RequestKind
	Timeout         time.Duration // maximum time until the final response
	FirstByteTarget time.Duration // time to the first byte up to which a response has its full value
	MaxEventGap     time.Duration // maximum pause between events for a stream that counts as on time
	Rank            int           // 0 is the most urgent
	Targets         []Target
	MaxAttempts     int  // invariant: >= 1; maximum number of upstreams that may run one request
	NoKey           bool // true if callers need no key
	PrefixAffinity  bool // true if requests name the parts of their prompts, for cache affinity
}

// Engine describes the upstreams of a service of inference engines.
type Engine struct {
	Slots          int           // requests that run concurrently
	KVCapacity     poplar.Tokens // capacity of the engine's KV cache, in tokens
	TokensPerEvent int           // tokens in one event of a response stream
}

// Service is a group of upstreams of one kind.
type Service struct {
	Name           poplar.Service
	Health         string // path of the health check
	MaxConnections int    // maximum connections to one upstream, from all routers
	Engine         *Engine
}

// Workspace is a tenant with its keys and its token grant.
type Workspace struct {
	Name      poplar.Workspace
	Keys      []string
	Rank      *int          // replaces the rank of the route if set
	Grant     poplar.Tokens // total tokens that may be used
	HasBudget bool          // false if the workspace has no budget
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int   // bytes
	BodyBytes     int64 // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is a complete configuration.
type Plan struct {
	Revision   poplar.Revision
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Check returns the first error that makes the plan invalid.
func (p *Plan) Check() error {
	services := make(map[poplar.Service]bool, len(p.Services))
	for i := range p.Services {
		if p.Services[i].Name == "" {
			return fmt.Errorf("service %d has no name", i)
		}
		services[p.Services[i].Name] = true
	}
	routeByLocation := make(map[string]string, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		location := r.Host + r.Prefix
		if other, ok := routeByLocation[location]; ok {
			return fmt.Errorf("routes %q and %q share host and prefix", other, r.Name)
		}
		routeByLocation[location] = r.Name
	}
	workspaceByKey := make(map[string]poplar.Workspace)
	for _, w := range p.Workspaces {
		if w.Name == "" {
			return fmt.Errorf("a workspace has no name")
		}
		for _, key := range w.Keys {
			if other, ok := workspaceByKey[key]; ok && other != w.Name {
				return fmt.Errorf("workspaces %q and %q share a key", other, w.Name)
			}
			workspaceByKey[key] = w.Name
		}
	}
	return nil
}

func (r *Route) check(services map[poplar.Service]bool) error {
	if r.Host == "" || len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return fmt.Errorf("host must be set and prefix must begin and end with a slash: got %q and %q", r.Host, r.Prefix)
	}
	if r.Timeout <= 0 {
		return fmt.Errorf("needs a timeout")
	}
	switch r.Kind {
	case KindSafe, KindUnsafe, KindStream, KindResumable:
	default:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	weight := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return fmt.Errorf("service %q is not declared", t.Service)
		}
		if t.Weight < 0 {
			return fmt.Errorf("service %q has a negative weight", t.Service)
		}
		weight += t.Weight
	}
	if weight == 0 {
		return fmt.Errorf("the weights add up to 0")
	}
	return nil
}
