package conf

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the shapes that values of a file may have, and the check of
// one file against its shape.

// shape is what a value must look like.
type shape interface {
	check(n *node, at *path, out *sheet)
}

// record is an object with known fields.
type record map[string]shape

// check implements shape. A null field is left to merge.
func (r record) check(n *node, at *path, out *sheet) {
	if !sameKind(n, kindObject, at, out) {
		return
	}
	noDoubles(n, at, out)
	n.each(func(name string, kid *node) {
		where := at.to(name)
		field, ok := r[name]
		if !ok {
			out.add(n.src, int(kid.nameAt), where.String(), "unknown field; known are %s", r.known())
			return
		}
		if kid.kind != kindNull {
			field.check(kid, where, out)
		}
	})
}

// noDoubles notes the fields that stand twice in an object.
func noDoubles(n *node, at *path, out *sheet) {
	for _, d := range n.parts.twice {
		out.add(n.src, int(d.at), at.to(d.name).String(), "doubled")
	}
}

// known returns the names of the fields for a stray.
func (r record) known() string {
	names := make([]string, 0, len(r))
	for name := range r {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// table is an object of named items.
type table struct {
	name func(string) error
	item shape
}

// check implements shape. A null item is left to merge.
func (t table) check(n *node, at *path, out *sheet) {
	if !sameKind(n, kindObject, at, out) {
		return
	}
	noDoubles(n, at, out)
	n.each(func(name string, kid *node) {
		where := at.to(name)
		if err := t.name(name); err != nil {
			out.add(n.src, int(kid.nameAt), where.String(), "%v", err)
		}
		if kid.kind != kindNull {
			t.item.check(kid, where, out)
		}
	})
}

// list is a list of values of one shape without repetition.
type list struct {
	item shape
}

// check implements shape.
func (l list) check(n *node, at *path, out *sheet) {
	if !sameKind(n, kindList, at, out) {
		return
	}
	seen := make(map[string]bool, len(n.items()))
	for i, item := range n.items() {
		where := at.to(strconv.Itoa(i))
		l.item.check(item, where, out)
		if seen[item.text] {
			out.add(item.src, int(item.at), where.String(), "%q is doubled", item.text)
		}
		seen[item.text] = true
	}
}

// leaf is a value of one kind with a rule.
type leaf struct {
	kind kind
	rule func(text string) error
}

// check implements shape.
func (l leaf) check(n *node, at *path, out *sheet) {
	if !sameKind(n, l.kind, at, out) || l.rule == nil {
		return
	}
	if err := l.rule(n.text); err != nil {
		out.add(n.src, int(n.at), at.String(), "%v", err)
	}
}

// sameKind reports whether n has the wanted kind and notes a stray otherwise.
func sameKind(n *node, want kind, at *path, out *sheet) bool {
	if n.kind == want {
		return true
	}
	out.add(n.src, int(n.at), at.String(), "want %s, got %s", want, n.kind)
	return false
}

var (
	itemName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	modelForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
)

// named is the rule of names of items.
func named(text string) error {
	if !itemName.MatchString(text) {
		return fmt.Errorf("a name has 1 to 64 letters, digits, dots, dashes and underscores, got %q", text)
	}
	return nil
}

// modelNamed is the rule of names of models.
func modelNamed(text string) error {
	if !modelForm.MatchString(text) {
		return fmt.Errorf("a model's name has 1 to 128 letters, digits and . _ : / -, got %q", text)
	}
	return nil
}

// pattern is the rule of upstream rules: a name that may end in a star.
func pattern(text string) error {
	if text == "*" {
		return nil
	}
	return named(strings.TrimSuffix(text, "*"))
}

// hashed is the rule of SHA-256 hashes.
func hashed(text string) error {
	if raw, err := hex.DecodeString(text); err != nil || len(raw) != HashSize {
		return fmt.Errorf("want the 64 hexadecimal digits that `poplarbend hash` prints")
	}
	return nil
}

// ranked is the rule of ranks.
func ranked(text string) error {
	_, err := poplar.ParseRank(text)
	return err
}

// text is a string with a rule.
func text(rule func(string) error) shape { return leaf{kind: kindText, rule: rule} }

// filled is the rule of strings that may not be empty.
func filled(text string) error {
	if text == "" {
		return fmt.Errorf("may not be empty")
	}
	return nil
}

// oneOf is a string out of a few.
func oneOf(words ...string) shape {
	return text(func(text string) error {
		for _, word := range words {
			if word == text {
				return nil
			}
		}
		return fmt.Errorf("want one of %s, got %q", strings.Join(words, ", "), text)
	})
}

// flag is true or false.
func flag() shape { return leaf{kind: kindFlag} }

// whole is an integer from low to high.
func whole(low, high int64) shape {
	return leaf{kind: kindNumber, rule: func(text string) error {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value < low || value > high {
			return fmt.Errorf("want a whole number from %d to %d, got %s", low, high, text)
		}
		return nil
	}}
}

// number is a number from low to high.
func number(low, high float64) shape {
	return leaf{kind: kindNumber, rule: func(text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) || value < low || value > high {
			return fmt.Errorf("want a number from %g to %g, got %s", low, high, text)
		}
		return nil
	}}
}

// span is a duration from low to high, written like "300ms" or "2h".
func span(low, high time.Duration) shape {
	return text(func(text string) error {
		value, err := time.ParseDuration(text)
		if err != nil || value < low || value > high {
			return fmt.Errorf("want a time from %s to %s such as %q, got %q", low, high, "300ms", text)
		}
		return nil
	})
}
