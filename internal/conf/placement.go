package conf

import (
	"fmt"
	"regexp"
	"strings"

	"poplarbend.example/poplar"
)

// This file holds what the folder says of the engines that load a model.

// Placement says on how many engines of each failure domain a model is loaded.
// The zero value leaves the model where it is: it is never ordered.
type Placement struct {
	size    float64
	version string
	base    poplar.Model
	least   int // invariant: not above most
	most    int // invariant: 0 when size is 0
}

// Size returns the memory that the model takes, in bytes; 0 when it is not
// known.
func (p Placement) Size() float64 { return p.size }

// Version returns the version to load.
func (p Placement) Version() string { return p.version }

// Base returns the model that an adapter needs loaded beside it, or "".
func (p Placement) Base() poplar.Model { return p.base }

// Least and Most return the bounds of the engines that serve the model in each
// failure domain.
func (p Placement) Least() int { return p.least }

// Most is the upper bound; see Least.
func (p Placement) Most() int { return p.most }

// Placed reports whether engines are ordered to load the model.
func (p Placement) Placed() bool { return p.most > 0 }

// Place returns where the model is loaded.
func (m *Model) Place() Placement { return m.place }

var versionForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/+-]{0,63}$`)

// versioned is the rule of versions of models.
func versioned(text string) error {
	if !versionForm.MatchString(text) {
		return fmt.Errorf("a version has 1 to 64 letters, digits and . _ : / + -, got %q", text)
	}
	return nil
}

// placement compiles the placement of one model. Most is at least what least
// asks for, unless it is set.
func (c *compiler) placement(n *node, at *path) Placement {
	p := Placement{
		size:    n.kid("size").number(0),
		version: strings.Clone(n.kid("version").string("")),
		base:    poplar.Model(n.kid("base").string("")),
		least:   int(n.kid("least").whole(0)),
	}
	p.most = int(n.kid("most").whole(int64(p.least)))
	if p.least > p.most {
		least := n.kid("least")
		c.out.add(least.src, int(least.at), at.to("least").String(), "above most, %d", p.most)
	}
	if p.most > 0 && p.size == 0 {
		c.need(n, "size", at)
		if size := n.kid("size"); size != nil {
			c.out.add(size.src, int(size.at), at.to("size").String(), "may not be 0 for a model that is loaded by order")
		}
	}
	return p
}

// bases checks the base of each adapter: a model that is itself no adapter, and
// that is loaded by order when the adapter is.
func (c *compiler) bases(models *node) {
	for _, m := range c.policy.models {
		if m.place.base == "" {
			continue
		}
		field := models.kid(string(m.name)).kid("base")
		at := (*path)(nil).to("models").to(string(m.name)).to("base")
		base := c.policy.modelOf[m.place.base]
		switch {
		case base == nil:
			c.unknown(field, at, "model")
		case base.place.base != "":
			c.out.add(field.src, int(field.at), at.String(), "%q is an adapter itself", field.text)
		case m.place.Placed() && !base.place.Placed():
			c.out.add(field.src, int(field.at), at.String(), "%q is not loaded by order; set its most", field.text)
		}
	}
}
