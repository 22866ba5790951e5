package fake

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sort"
	"time"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/order"
)

// This file holds what an engine has loaded, and the orders that change it.

// errFence means that an order of a later issuer was taken.
var errFence = errors.New("a later issuer gives the orders")

// errMemory means that a model does not fit.
var errMemory = errors.New("the model does not fit into the memory")

// shelf holds the models of an engine. It is not safe for concurrent use.
type shelf struct {
	set   Settings
	have  map[poplar.Model]string // invariant: versions, of running loads too
	busy  map[poplar.Model]bool   // invariant: models whose load runs
	role  order.Role
	last  order.Order // invariant: the highest fence and number taken
	reply error       // invariant: the answer to last
	taken []order.Order
}

func newShelf(set Settings) *shelf {
	s := &shelf{set: set, have: map[poplar.Model]string{}, busy: map[poplar.Model]bool{}, role: order.RoleMixed}
	for _, m := range set.Models {
		s.have[m] = ""
	}
	return s
}

// check returns whether the order does anything, and the answer otherwise. An
// engine that ignores fences does what it is told.
func (s *shelf) check(o order.Order) (bool, error) {
	if !s.set.Fenced {
		return true, nil
	}
	if o.Fence < s.last.Fence {
		return false, errFence
	}
	if o.Fence == s.last.Fence && o.Number <= s.last.Number {
		return false, s.reply
	}
	return true, nil
}

// take carries an order out, apart from the time that a load takes. It reports
// whether a load begins.
func (s *shelf) take(o order.Order) (bool, error) {
	does, err := s.check(o)
	if !does {
		return false, err
	}
	s.last, s.reply = o, nil
	s.taken = append(s.taken, o)
	switch o.Verb {
	case order.VerbLoad:
		if version, has := s.have[o.Model]; has && version == o.Version {
			return false, nil
		}
		if !s.fits(o.Model) {
			s.reply = errMemory
			return false, errMemory
		}
		s.have[o.Model], s.busy[o.Model] = o.Version, true
		return true, nil
	case order.VerbUnload:
		delete(s.have, o.Model)
	case order.VerbRole:
		s.role = o.Role
	}
	return false, nil
}

// fits reports whether the memory holds the model, in place of its old version.
func (s *shelf) fits(model poplar.Model) bool {
	used := s.set.Sizes[model]
	for m := range s.have {
		if m != model {
			used += s.set.Sizes[m]
		}
	}
	return s.set.Memory == 0 || used <= s.set.Memory
}

// serves reports whether the model can be asked.
func (s *shelf) serves(model poplar.Model) bool {
	_, has := s.have[model]
	return has && !s.busy[model]
}

// loaded returns what can be served, in the order of names.
func (s *shelf) loaded() []poplar.Loaded {
	var all []poplar.Loaded
	for m, version := range s.have {
		if !s.busy[m] {
			all = append(all, poplar.Loaded{Model: m, Version: version})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Model < all[j].Model })
	return all
}

func (s *shelf) models() []poplar.Model {
	var all []poplar.Model
	for _, l := range s.loaded() {
		all = append(all, l.Model)
	}
	return all
}

// Orders returns the orders that the engine has taken.
func (e *Engine) Orders() []order.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.shelf.taken)
}

// order answers an order. A load goes on after the answer; the announcements
// tell when it is done.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o order.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.Verb != order.VerbLoad && o.Verb != order.VerbUnload && o.Verb != order.VerbRole {
		http.Error(w, "unknown verb", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	loads, err := e.shelf.take(o)
	switch {
	case errors.Is(err, errFence):
		http.Error(w, err.Error(), http.StatusConflict)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	if loads {
		e.fetch(o.Model)
	}
	e.beacon.serve(e.shelf.models(), e.shelf.loaded(), e.shelf.role)
	w.WriteHeader(http.StatusNoContent)
}

// fetch begins a load. The caller holds mu.
func (e *Engine) fetch(model poplar.Model) {
	now := time.Now()
	done := e.set.Store.fetch(e.set.Sizes[model], now)
	if !done.After(now) {
		delete(e.shelf.busy, model)
		return
	}
	e.host.wait.Add(1)
	go e.runLoad(model, done)
}

func (e *Engine) runLoad(model poplar.Model, done time.Time) {
	defer e.host.wait.Done()
	timer := time.NewTimer(time.Until(done))
	defer timer.Stop()
	select {
	case <-e.host.ctx.Done():
		return
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.shelf.busy, model)
	e.beacon.serve(e.shelf.models(), e.shelf.loaded(), e.shelf.role)
}
