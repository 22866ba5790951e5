package order

import "poplarbend.example/poplar"

// This file defines orders and the state that engines report. The structs are
// wire messages.

// Verb is the action that an order requests.
type Verb string

// The verbs.
const (
	VerbLoad   Verb = "load"
	VerbUnload Verb = "unload"
	VerbRole   Verb = "role"
)

// Role is the part of request processing that an engine does.
type Role string

// The roles.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order is one order to an engine. Orders are idempotent: an engine that
// receives the same fence and number again does nothing and repeats its answer.
type Order struct {
	Fence    poplar.Fence    `json:"fence"`
	Number   uint64          `json:"number"`
	Upstream poplar.Upstream `json:"up"`
	Verb     Verb            `json:"verb"`
	Model    poplar.Model    `json:"model,omitempty"`
	Version  string          `json:"version,omitempty"`
	Role     Role            `json:"role,omitempty"`
	Reason   Reason          `json:"reason"`
}

// Reason explains why an order is issued.
type Reason string

// The reasons.
const (
	ReasonMinEngines   Reason = "least"   // fewer engines than configured serve the model
	ReasonDemand       Reason = "demand"  // the utilization of the model is too high
	ReasonVersion      Reason = "version" // another version is configured
	ReasonMemory       Reason = "room"    // another model needs the memory
	ReasonUnconfigured Reason = "idle"    // the model is no longer configured
	ReasonBalance      Reason = "balance" // the ratio of prefill to decode demand has changed
)

// Loaded is one model that an engine has loaded.
type Loaded struct {
	Model   poplar.Model `json:"model"`
	Version string       `json:"version"`
}

// Engine is the state that an engine reports.
type Engine struct {
	Name   poplar.Upstream `json:"name"`
	Domain poplar.Domain   `json:"domain"`
	Memory float64         `json:"memory"` // bytes for weights
	Slots  int             `json:"slots"`  // number of requests that the engine runs concurrently
	Loaded []Loaded        `json:"loaded"`
	Role   Role            `json:"role"`
	// Fenced is true if the engine refuses orders with an outdated fence.
	Fenced bool `json:"fenced"`
	// Forbidden lists the models that the engine must not load.
	Forbidden []poplar.Model `json:"barred,omitempty"`
}

// loadedVersion returns the version of model that e has loaded, and whether it
// has loaded the model at all.
func (e *Engine) loadedVersion(model poplar.Model) (string, bool) {
	for _, l := range e.Loaded {
		if l.Model == model {
			return l.Version, true
		}
	}
	return "", false
}

// setLoaded adds a model to e or replaces another version of it.
func (e *Engine) setLoaded(l Loaded) {
	for i := range e.Loaded {
		if e.Loaded[i].Model == l.Model {
			e.Loaded[i] = l
			return
		}
	}
	e.Loaded = append(e.Loaded, l)
}

// Demand is the demand on the fleet at one moment.
type Demand struct {
	// Models is the number of requests running or waiting, by model.
	Models map[poplar.Model]float64 `json:"models"`
	// PrefillShare is the share of the engines' time spent on prefill, from 0
	// to 1. With 0, roles do not change.
	PrefillShare float64 `json:"prefill"`
}
