package fake

import (
	"time"

	"poplarbend.example/poplar"
)

// This file holds the settings of the stand-ins.

// Defaults of the settings.
const (
	defaultSlots  = 16
	defaultBlocks = 4096
	defaultLinger = 10 * time.Second
	renewPeriod   = time.Second
)

// Settings describes one stand-in. The zero value of a field takes its
// default.
type Settings struct {
	Name     poplar.Upstream  `json:"name"`
	Domain   poplar.Domain    `json:"domain"`
	Listen   string           `json:"listen"`
	Announce []string         `json:"announce"`
	Models   []poplar.Model   `json:"models"`
	Services []poplar.Service `json:"services"`
	// Slots bounds the generations, or the calls of a service, that run at once.
	Slots int `json:"slots"`
	// Step is the time of one decoding step. Each running generation gets one
	// token a step.
	Step time.Duration `json:"step"`
	// Prefill is the time for each block of the prompt that is not cached.
	Prefill time.Duration `json:"prefill"`
	// Blocks bounds the prefix cache.
	Blocks int `json:"blocks"`
	// Lag is the age of the load that a report tells.
	Lag time.Duration `json:"lag"`
	// Late is the delay of cache events.
	Late time.Duration `json:"late"`
	// Lose is the share of cache events that is lost, in 0..1.
	Lose float64 `json:"lose"`
	// Linger is how long a generation without a reader goes on and is kept.
	Linger time.Duration `json:"linger"`
	// NoResume makes the engine forget a generation when its reader leaves.
	NoResume bool `json:"noresume"`
	// Fenced makes the engine refuse orders with an old fence.
	Fenced bool `json:"fenced"`
	// Memory is the bytes for weights; 0 bounds nothing and announces nothing.
	Memory float64 `json:"memory"`
	// Sizes are the bytes of models; a model that is not listed takes none.
	Sizes map[poplar.Model]float64 `json:"sizes"`
	// Store is where weights come from; nil loads at once.
	Store *Store `json:"-"`
	// Bare leaves an engine without Models empty.
	Bare bool `json:"bare"`
	// Ends is the mean number of tokens after which an answer ends by itself;
	// 0 makes every answer as long as it may be. The prompt fixes the length.
	Ends int `json:"ends"`
	// Seed fixes which cache events are lost.
	Seed uint64 `json:"seed"`
	// Told is called when the answers of an address to the messages change: with
	// the error, or nil once they are accepted (again).
	Told func(address string, err error) `json:"-"`
	// Crash is called when a marked request arrives. The default kills the
	// stand-in.
	Crash func() `json:"-"`
}

func (s Settings) filled() Settings {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Blocks == 0 {
		s.Blocks = defaultBlocks
	}
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	if len(s.Models) == 0 && !s.Bare {
		s.Models = []poplar.Model{"small"}
	}
	if len(s.Services) == 0 {
		s.Services = []poplar.Service{"desk"}
	}
	return s
}
