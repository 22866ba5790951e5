package order

import (
	"time"

	"poplarbend.example/poplar"
)

// Settings configure the planner.
type Settings struct {
	// High is the utilization of a model's slots above which the model gets
	// another engine.
	High float64 `json:"high"`
	// Low is the utilization that the slots of a model must stay below with one
	// engine less, before an engine is taken away. It is below High.
	Low float64 `json:"low"`
	// Rise is how long the utilization must stay above High.
	Rise time.Duration `json:"rise"`
	// Fall is how long the utilization must stay below Low.
	Fall time.Duration `json:"fall"`
	// Stay is the minimum time that an engine keeps a model loaded, and the
	// minimum time between two changes of its role.
	Stay time.Duration `json:"stay"`
	// Store is the rate of the weight store in bytes per second.
	Store float64 `json:"store"`
	// Loads is the largest number of concurrent loads.
	Loads int `json:"loads"`
	// Answer is how long an engine has to answer an order before the order is
	// sent again.
	Answer time.Duration `json:"answer"`
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
	// Least and Most bound the number of engines that serve the model.
	Least int `json:"least"`
	Most  int `json:"most"`
}

// DefaultSettings returns the settings used when the operator configures none.
func DefaultSettings() Settings {
	return Settings{
		High:   0.8,
		Low:    0.5,
		Rise:   10 * time.Second,
		Fall:   5 * time.Minute,
		Stay:   10 * time.Minute,
		Store:  1e9,
		Loads:  2,
		Answer: 2 * time.Minute,
	}
}
