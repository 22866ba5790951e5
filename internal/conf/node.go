package conf

import (
	"bytes"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// This file holds the tree that a file is read into. It keeps the position of
// every value and finds doubled fields, which the codec lets pass.

// mostDepth bounds the nesting of a file; the codec recurses.
const mostDepth = 16

// kind is the JSON type of a node.
type kind uint8

const (
	kindNull kind = iota
	kindFlag
	kindNumber
	kindText
	kindList
	kindObject
)

var kindNames = [...]string{"null", "true or false", "a number", "a string", "a list", "an object"}

func (k kind) String() string { return kindNames[k] }

// node is one value of a file. A folder of the two-year size has half a
// million of them at once, so leaves are kept small.
type node struct {
	src    *source
	text   string // invariant: the string, the number or the flag as written
	parts  *parts // invariant: set for lists and objects only
	at     int32  // invariant: offset of the value in src
	nameAt int32  // invariant: offset of the name of the field in src, or at
	kind   kind
	nulls  bool // invariant: true when the node or one below it is null
}

// parts are what a list or an object holds.
type parts struct {
	list   []*node
	fields []field // invariant: the fields of an object in the order of the files
	// index finds a field by name. It is nil while the object is small, which
	// most are; a large folder has many objects.
	index map[string]int
	twice []double
}

// field is one field of an object.
type field struct {
	name  string
	value *node // invariant: nil for a field that a merge removed
}

// double is a field that stands again in its file.
type double struct {
	name string
	at   int32
}

// smallObject is the most fields that are searched one by one.
const smallObject = 8

// parse reads a file into a tree whose root is an object. It returns nil after a
// stray that leaves no tree; doubled fields leave one and are noted in it.
func parse(name string, data []byte, out *sheet) *node {
	raw := slices.Concat(data, []byte("\n")) // ends a last comment
	src := &source{name: name, text: string(raw)}
	if at, ok := deepAt(raw); ok {
		out.add(src, at, "", "nested deeper than %d levels", mostDepth)
		return nil
	}
	if at, ok := badTextAt(raw); ok {
		out.add(src, at, "", "not UTF-8")
		return nil
	}
	value, err := hujson.Parse(raw)
	if err != nil {
		offset, text := syntax(src, err)
		out.add(src, offset, "", "%s", text)
		return nil
	}
	root := grow(src, &value)
	if root.kind != kindObject {
		out.add(src, int(root.at), "", "want an object, got %s", root.kind)
		return nil
	}
	return root
}

// grow turns a parsed value into a node.
func grow(src *source, value *hujson.Value) *node {
	n := &node{src: src, at: int32(value.StartOffset), nameAt: int32(value.StartOffset)}
	switch v := value.Value.(type) {
	case hujson.Literal:
		n.setLiteral(v, value)
	case *hujson.Array:
		n.kind, n.parts = kindList, &parts{list: make([]*node, 0, len(v.Elements))}
		for i := range v.Elements {
			kid := grow(src, &v.Elements[i])
			n.parts.list = append(n.parts.list, kid)
			n.nulls = n.nulls || kid.nulls
		}
	case *hujson.Object:
		n.growFields(v)
	}
	return n
}

// setLiteral sets kind and text from a literal.
func (n *node) setLiteral(v hujson.Literal, value *hujson.Value) {
	switch v.Kind() {
	case 't', 'f':
		n.kind, n.text = kindFlag, n.src.text[value.StartOffset:value.EndOffset]
	case '"':
		n.kind, n.text = kindText, unquote(n.src, v, value)
	case '0':
		n.kind, n.text = kindNumber, n.src.text[value.StartOffset:value.EndOffset]
	default:
		n.kind, n.nulls = kindNull, true
	}
}

// unquote returns the string that a literal stands for. Most have no escape and
// are a part of the file's text; only the others take the codec's slow path.
func unquote(src *source, v hujson.Literal, value *hujson.Value) string {
	if bytes.IndexByte(v, '\\') < 0 {
		return src.text[value.StartOffset+1 : value.EndOffset-1]
	}
	return v.String()
}

// growFields fills an object; of a doubled field the first one stays.
func (n *node) growFields(object *hujson.Object) {
	n.kind, n.parts = kindObject, &parts{fields: make([]field, 0, len(object.Members))}
	for i := range object.Members {
		member := &object.Members[i]
		literal, _ := member.Name.Value.(hujson.Literal)
		name := unquote(n.src, literal, &member.Name)
		if n.find(name) >= 0 {
			n.parts.twice = append(n.parts.twice, double{name: name, at: int32(member.Name.StartOffset)})
			continue
		}
		kid := grow(n.src, &member.Value)
		kid.nameAt = int32(member.Name.StartOffset)
		n.put(name, kid)
	}
}

// find returns the place of the field name, or -1.
func (n *node) find(name string) int {
	if n.parts.index != nil {
		if i, ok := n.parts.index[name]; ok {
			return i
		}
		return -1
	}
	for i := range n.parts.fields {
		if n.parts.fields[i].name == name {
			return i
		}
	}
	return -1
}

// put sets the field name of an object. A field that was removed gets its
// place back.
func (n *node) put(name string, kid *node) {
	n.nulls = n.nulls || kid.nulls
	if i := n.find(name); i >= 0 {
		n.parts.fields[i].value = kid
		return
	}
	n.parts.fields = append(n.parts.fields, field{name: name, value: kid})
	switch {
	case n.parts.index != nil:
		n.parts.index[name] = len(n.parts.fields) - 1
	case len(n.parts.fields) > smallObject:
		n.parts.index = make(map[string]int, cap(n.parts.fields))
		for i := range n.parts.fields {
			n.parts.index[n.parts.fields[i].name] = i
		}
	}
}

// drop removes the field name of an object, which must have it.
func (n *node) drop(name string) { n.parts.fields[n.find(name)].value = nil }

// kid returns the field name, or nil when n is nil or no object, or lacks it.
func (n *node) kid(name string) *node {
	if n == nil || n.parts == nil {
		return nil
	}
	if i := n.find(name); i >= 0 {
		return n.parts.fields[i].value
	}
	return nil
}

// each calls visit for the fields of an object that are set, in order.
func (n *node) each(visit func(name string, kid *node)) {
	if n == nil || n.parts == nil {
		return
	}
	for i := range n.parts.fields {
		if n.parts.fields[i].value != nil {
			visit(n.parts.fields[i].name, n.parts.fields[i].value)
		}
	}
}

// items returns the items of a list, or nil when n is nil or no list.
func (n *node) items() []*node {
	if n == nil || n.parts == nil {
		return nil
	}
	return n.parts.list
}

// string returns the text of a node, or other when it is nil.
func (n *node) string(other string) string {
	if n == nil {
		return other
	}
	return n.text
}

// whole returns the integer of a checked node, or other when it is nil.
func (n *node) whole(other int64) int64 {
	if n == nil {
		return other
	}
	value, _ := strconv.ParseInt(n.text, 10, 64)
	return value
}

// number returns the number of a checked node, or other when it is nil.
func (n *node) number(other float64) float64 {
	if n == nil {
		return other
	}
	value, _ := strconv.ParseFloat(n.text, 64)
	return value
}

// span returns the duration of a checked node, or other when it is nil.
func (n *node) span(other time.Duration) time.Duration {
	if n == nil {
		return other
	}
	value, _ := time.ParseDuration(n.text)
	return value
}

// flag returns the flag of a checked node, or other when it is nil.
func (n *node) flag(other bool) bool {
	if n == nil {
		return other
	}
	return n.text == "true"
}

// badTextAt returns the offset of the first byte that is not UTF-8.
func badTextAt(data []byte) (int, bool) {
	if utf8.Valid(data) {
		return 0, false
	}
	for at := 0; at < len(data); {
		r, size := utf8.DecodeRune(data[at:])
		if r == utf8.RuneError && size == 1 {
			return at, true
		}
		at += size
	}
	return 0, false
}
