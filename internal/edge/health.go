package edge

import (
	"encoding/json"
	"net/http"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fault"
)

// These handlers serve liveness, readiness and the list of models.

// live succeeds as long as the process serves HTTP.
func (e *Edge) live(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// ready fails while the daemon drains and before it has a configuration. It
// does not depend on peers: otherwise a single network partition could take
// every daemon out of the load balancer at once.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining():
		fault.Write(w, refuse(poplar.StepDrain, poplar.CodeDrain, "the daemon is draining").At(string(e.conf.Daemon)))
	case e.conf.Policy() == nil:
		fault.Write(w, refuse(poplar.StepParse, poplar.CodeDrain, "the daemon has no configuration yet").At(string(e.conf.Daemon)))
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// modelEntry and modelList encode the list of models in the format of the
// OpenAI API.
type modelEntry struct {
	ID     poplar.Model `json:"id"`
	Object string       `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// models lists the models of the policy.
func (e *Edge) models(w http.ResponseWriter, r *http.Request) {
	policy := e.conf.Policy()
	if policy == nil {
		fault.Write(w, refuse(poplar.StepParse, poplar.CodeDrain, "the daemon has no configuration yet"))
		return
	}
	if _, err := authenticate(policy, r.Header); err != nil {
		fault.Write(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range policy.Models() {
		list.Data = append(list.Data, modelEntry{ID: m.Name(), Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
