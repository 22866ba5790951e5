package edge

import (
	"context"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/pkg/route"
)

// Calls of plain services are forwarded without interpretation of the body.

// servicePrefix precedes the name of a service in a path.
const servicePrefix = "/svc/"

// serviceCall is one call of a plain service.
type serviceCall struct {
	service *conf.Service
	rule    conf.Route
	path    string // escaped, with the query
}

func (e *Edge) services(w http.ResponseWriter, r *http.Request) {
	name := poplar.Service(mux.Vars(r)["service"])
	e.handle(w, r, func(c *call) (operation, error) { return c.newServiceCall(name) })
}

// newServiceCall finds the rule for the call. It refuses a call that is not
// idempotent and has no key, since a retry could run it twice.
func (c *call) newServiceCall(name poplar.Service) (operation, error) {
	service, ok := c.policy.Service(name)
	if !ok {
		return nil, refuse(poplar.StepParse, poplar.CodeMissing, "there is no service %q", name)
	}
	path := strings.TrimPrefix(c.request.URL.EscapedPath(), servicePrefix+string(name))
	if path == "" {
		path = "/"
	}
	rule := service.Route(c.request.Method, path)
	if !rule.Repeat() && !c.keyed {
		return nil, refuse(poplar.StepClass, poplar.CodeKey,
			"%s %s of service %s is not idempotent: send the header %s, and send the same value with a retry",
			c.request.Method, path, name, headerIdempotencyKey)
	}
	if query := c.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return &serviceCall{service: service, rule: rule, path: path}, nil
}

// pool implements operation.
func (s *serviceCall) pool() string { return servicePrefix + string(s.service.Name()) }

// initialReservation implements operation.
func (s *serviceCall) initialReservation(*conf.Policy) poplar.Tokens { return s.rule.Cost() }

// idempotent implements operation.
func (s *serviceCall) idempotent() bool { return s.rule.Repeat() }

// streaming implements operation.
func (s *serviceCall) streaming() bool { return false }

// pick implements operation.
func (s *serviceCall) pick(c *call, avoid poplar.Upstream) (*target, error) {
	return c.choose(route.ForService(s.service.Name(), c.rank), avoid)
}

// run implements operation. A call that is not idempotent is sent once. If its
// response is lost, nobody knows whether it ran, and it counts as spent.
func (s *serviceCall) run(a *attempt) error {
	c := a.call
	for {
		response, err := s.fetch(a)
		if err == nil {
			return s.settle(a, response)
		}
		if c.ctx.Err() != nil {
			return s.fail(a, c.contextError(poplar.StepStream))
		}
		if c.dispatched.Load() && !s.rule.Repeat() {
			return s.fail(a, err)
		}
		if failErr := a.failOverAfter(err); failErr != nil {
			return s.fail(a, failErr)
		}
	}
}

// fetch runs one exchange with the upstream, within the timeout of the rule.
func (s *serviceCall) fetch(a *attempt) (*upstreamResponse, error) {
	c := a.call
	parent := c.ctx
	deadline := c.edge.conf.Clock.Now().Add(s.rule.Timeout())
	ctx, cancel := context.WithDeadlineCause(parent, deadline, errStall)
	defer cancel()
	c.ctx = ctx
	defer func() { c.ctx = parent }()
	return a.fetch(outgoingRequest{
		method: c.request.Method, path: s.path, header: forwardedHeader(c.request.Header),
		body: c.body, nonIdempotent: !s.rule.Repeat(),
	})
}

// settle bills a response and sends it whatever its status, since the status is
// part of the service's response.
func (s *serviceCall) settle(a *attempt, response *upstreamResponse) error {
	if err := a.settle(poplar.OutcomeDone, s.rule.Cost(), a.storedResponse(response)); err != nil {
		return poplar.Fail(poplar.StepSettle, poplar.CodeOf(err), err).Ran(poplar.RunYes)
	}
	a.call.response.writeResponse(response.status, responseHeader(response.header), response.body)
	return nil
}

func (s *serviceCall) fail(a *attempt, err error) error {
	c := a.call
	switch {
	case !c.dispatched.Load():
		_ = a.settle(poplar.OutcomeNotRun, 0, nil)
	case s.rule.Repeat():
		_ = a.settle(poplar.OutcomeIncomplete, 0, nil)
	default:
		_ = a.settle(poplar.OutcomeUnknown, 0, nil)
	}
	return c.finalError(err, false)
}
