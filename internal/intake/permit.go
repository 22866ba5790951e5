package intake

import (
	"slices"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// This file holds what an upstream may serve by the operators' rules.

// permitted returns the announcement without the models and services that the
// upstream's rule does not allow. An upstream without a rule, or outside of the
// domains of its rule, keeps none, and the error says why. A nil policy allows
// everything.
func permitted(policy *conf.Policy, n poplar.Announcement) (poplar.Announcement, error) {
	if policy == nil {
		return n, nil
	}
	rule, ok := policy.Upstream(n.Upstream)
	if !ok {
		n.Models, n.Services = nil, nil
		return n, denied("no rule allows the upstream %s", n.Upstream)
	}
	if !rule.Domain(n.Domain) {
		n.Models, n.Services = nil, nil
		return n, denied("rule %s does not allow %s in domain %s", rule.Pattern(), n.Upstream, n.Domain)
	}
	n.Models = slices.DeleteFunc(slices.Clone(n.Models), func(m poplar.Model) bool { return !rule.Model(m) })
	n.Services = slices.DeleteFunc(slices.Clone(n.Services), func(s poplar.Service) bool { return !rule.Service(s) })
	return n, nil
}

func denied(format string, args ...any) error {
	return poplar.Failf(poplar.StepAuth, poplar.CodeDenied, format, args...).Ran(poplar.RunNo)
}
