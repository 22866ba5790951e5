package order

import (
	"time"

	"poplarbend.example/poplar"
)

// Settings configure the planner.
type Settings struct {
	// HighUtilization is the utilization of a model's slots above which the
	// model gets another engine.
	HighUtilization float64 `json:"high"`
	// LowUtilization is less than HighUtilization. An engine may unload a model
	// only if the utilization of the model's slots without that engine would
	// stay below LowUtilization.
	LowUtilization float64 `json:"low"`
	// RiseTime is how long the utilization must stay above HighUtilization.
	RiseTime time.Duration `json:"rise"`
	// FallTime is how long the utilization with one engine fewer must stay below
	// LowUtilization.
	FallTime time.Duration `json:"fall"`
	// MinStay is the minimum time that an engine keeps a configured model
	// loaded, and the minimum time between two changes of its role.
	MinStay time.Duration `json:"stay"`
	// StoreRate is the rate of the weight store in bytes per second.
	StoreRate float64 `json:"store"`
	// MaxLoads is the largest number of concurrent loads.
	MaxLoads int `json:"loads"`
	// AnswerTimeout is how long an engine has to answer an order before the
	// order is sent again.
	AnswerTimeout time.Duration `json:"answer"`
	// Models are the models and adapters to serve.
	Models []Model `json:"models"`
}

// Model is the configuration of one model or adapter.
type Model struct {
	Name    poplar.Model `json:"name"`
	Version string       `json:"version"`
	// Base is the model that an adapter needs on the same engine. It is empty
	// for a model that is not an adapter.
	Base poplar.Model `json:"base,omitempty"`
	// Size is the memory that the weights take, in bytes.
	Size float64 `json:"size"`
	// MinEngines and MaxEngines bound the number of engines that serve the model.
	MinEngines int `json:"least"`
	MaxEngines int `json:"most"`
}

// DefaultSettings returns the settings used when the operator configures none.
func DefaultSettings() Settings {
	return Settings{
		HighUtilization: 0.8,
		LowUtilization:  0.5,
		RiseTime:        10 * time.Second,
		FallTime:        5 * time.Minute,
		MinStay:         10 * time.Minute,
		StoreRate:       1e9,
		MaxLoads:        2,
		AnswerTimeout:   2 * time.Minute,
	}
}
