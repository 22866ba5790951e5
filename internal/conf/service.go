package conf

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
	"time"

	"poplarbend.example/poplar"
)

// This file holds plain services, their routes, and the rules of upstreams.

// Defaults of a service.
const (
	defaultCost    = 1
	defaultTimeout = 30 * time.Second
)

// Service is a plain service behind the path prefix of its name.
type Service struct {
	name   poplar.Service
	rest   Route   // invariant: answers what no route matches
	routes []Route // invariant: most specific first
}

// Name returns the name of the service.
func (s *Service) Name() poplar.Service { return s.name }

// Route returns the rule for a call. The path starts with a slash and lacks
// the prefix of the service. The longest matching path wins, then the exact
// method over the star. What no route matches has the service's own values,
// and is not idempotent unless the service says so: the method alone is no
// proof that a call may be repeated.
func (s *Service) Route(method, path string) Route {
	for _, r := range s.routes {
		if (r.method == "*" || r.method == method) && matches(r.path, path) {
			return r
		}
	}
	return s.rest
}

// Route is the rule of the calls to one method and path.
type Route struct {
	method  string
	path    string // invariant: may end in a star
	repeat  bool
	cost    poplar.Tokens // invariant: at least 1
	timeout time.Duration // invariant: positive
}

// Repeat reports whether the call is idempotent.
func (r Route) Repeat() bool { return r.repeat }

// Cost returns the cost of one call.
func (r Route) Cost() poplar.Tokens { return r.cost }

// Timeout returns how long one call may take. It is a setting; the request
// path adds it to the dispatch and stores the deadline.
func (r Route) Timeout() time.Duration { return r.timeout }

// Upstream is the rule of the upstreams whose names match its pattern.
type Upstream struct {
	pattern  string
	models   map[poplar.Model]bool   // invariant: empty allows every model
	services map[poplar.Service]bool // invariant: empty allows every service
	domains  map[poplar.Domain]bool  // invariant: empty allows every domain
	fences   bool
}

// Pattern returns the name or pattern that the rule stands for.
func (u *Upstream) Pattern() string { return u.pattern }

// Model reports whether the upstream may serve the model. A rule that names
// services only serves no model.
func (u *Upstream) Model(name poplar.Model) bool { return allows(u.models, name, len(u.services) > 0) }

// Service reports whether the upstream may serve the service. A rule that
// names models only serves no service.
func (u *Upstream) Service(name poplar.Service) bool {
	return allows(u.services, name, len(u.models) > 0)
}

// Domain reports whether the upstream may announce itself in domain.
func (u *Upstream) Domain(name poplar.Domain) bool { return allows(u.domains, name, false) }

// Fences reports whether the upstream refuses orders with an old number, for
// whoever gives orders.
func (u *Upstream) Fences() bool { return u.fences }

func (u *Upstream) matches(name poplar.Upstream) bool { return matches(u.pattern, string(name)) }

// allows reports whether set holds name; an empty set allows all unless the
// rule names things of the other kind only.
func allows[N comparable](set map[N]bool, name N, other bool) bool {
	if len(set) == 0 {
		return !other
	}
	return set[name]
}

// matches reports whether text is pattern, or begins with it up to its star.
func matches(pattern, text string) bool {
	prefix, open := strings.CutSuffix(pattern, "*")
	if open {
		return strings.HasPrefix(text, prefix)
	}
	return text == pattern
}

var routeForm = regexp.MustCompile(`^(\*|[A-Z]{1,16}) /[!-)+->@-~]*\*?$`)

// routed is the rule of the names of routes.
func routed(text string) error {
	if !routeForm.MatchString(text) {
		return fmt.Errorf("want a method or * and a path that may end in a star, such as %q, got %q", "POST /claims/*", text)
	}
	return nil
}

// service compiles one service.
func (c *compiler) service(name string, n *node, _ *path) {
	s := &Service{name: poplar.Service(name)}
	s.rest = Route{cost: defaultCost, timeout: defaultTimeout}.over(n)
	n.kid("routes").each(func(route string, kid *node) {
		r := s.rest.over(kid)
		r.method, r.path, _ = strings.Cut(strings.Clone(route), " ")
		s.routes = append(s.routes, r)
	})
	sort.Slice(s.routes, func(i, j int) bool { return s.routes[i].before(s.routes[j]) })
	c.policy.services = append(c.policy.services, s)
	c.policy.serviceOf[s.name] = s
}

// over returns r with the fields that n sets.
func (r Route) over(n *node) Route {
	r.cost = poplar.Tokens(n.kid("cost").whole(int64(r.cost)))
	r.timeout = n.kid("timeout").span(r.timeout)
	r.repeat = n.kid("repeat").flag(r.repeat)
	return r
}

// before reports whether r is more specific than other.
func (r Route) before(other Route) bool {
	if r.path != other.path {
		return narrower(r.path, other.path)
	}
	return r.method > other.method
}

// narrower orders patterns: exact ones first, then the longer prefix.
func narrower(a, b string) bool {
	openA, openB := strings.HasSuffix(a, "*"), strings.HasSuffix(b, "*")
	if openA != openB {
		return openB
	}
	if len(a) != len(b) {
		return len(a) > len(b)
	}
	return a < b
}

// upstream compiles one rule of upstreams.
func (c *compiler) upstream(name string, n *node, at *path) {
	c.policy.rules = append(c.policy.rules, &Upstream{
		pattern:  name,
		models:   references(c, n, at, "models", func(m poplar.Model) bool { return c.policy.modelOf[m] != nil }),
		services: references(c, n, at, "services", func(s poplar.Service) bool { return c.policy.serviceOf[s] != nil }),
		domains:  references(c, n, at, "domains", func(d poplar.Domain) bool { return c.domains[d] }),
		fences:   n.kid("fences").flag(false),
	})
}

// references returns the names that the list field holds, each of which must
// be known.
func references[N ~string](c *compiler, n *node, at *path, field string, known func(N) bool) map[N]bool {
	names := n.kid(field)
	if names == nil {
		return nil
	}
	set := make(map[N]bool, len(names.items()))
	for _, item := range names.items() {
		if !known(N(item.text)) {
			c.unknown(item, at.to(field), strings.TrimSuffix(field, "s"))
		}
		set[N(strings.Clone(item.text))] = true
	}
	return set
}
