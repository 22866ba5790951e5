package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/pkg/state"
)

// This file holds the way from files to a Policy.

// Bounds of a folder.
const (
	mostFiles = 10_000
	mostBytes = 64 << 20
	mostFile  = state.MaxFile
)

var fileName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}\.jsonc?$`)

// Merge merges the files in the byte order of their names and compiles them.
// The error is a Strays with every mistake of the first pass that found any:
// the files one by one, then the references between them.
func Merge(files map[string][]byte) (*Policy, error) {
	out := &sheet{}
	root := &node{src: &source{}, kind: kindObject, parts: &parts{}}
	size := 0
	for i, name := range names(files) {
		data := files[name]
		src := &source{name: name}
		size += len(data)
		if i >= mostFiles || size > mostBytes {
			out.add(src, 0, "", "the folder has more than %d files or %d bytes", mostFiles, mostBytes)
			break
		}
		if !fileName.MatchString(name) {
			out.add(src, 0, "", "a file's name has letters, digits, dots, dashes and underscores and ends in .json or .jsonc")
			continue
		}
		if len(data) > mostFile {
			out.add(src, 0, "", "the file has %d bytes, at most %d; split it", len(data), mostFile)
			continue
		}
		tree := parse(name, data, out)
		if tree == nil {
			continue
		}
		folderShape.check(tree, nil, out)
		merge(root, tree, nil, out)
	}
	if err := out.err(); err != nil {
		return nil, err
	}
	c := newCompiler(out)
	c.run(root)
	if err := out.err(); err != nil {
		return nil, err
	}
	return c.policy, nil
}

// Folder reads the files of an operators' folder: those whose names end in
// .json or .jsonc. Other files, hidden ones and folders below are passed over.
func Folder(dir string) (map[string][]byte, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	files := make(map[string][]byte)
	for _, entry := range entries {
		name := entry.Name()
		kind := filepath.Ext(name)
		if entry.IsDir() || strings.HasPrefix(name, ".") || (kind != ".json" && kind != ".jsonc") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		files[name] = data
	}
	return files, nil
}

// Digest returns a digest of the names and contents of files. Equal folders
// have equal digests.
func Digest(files map[string][]byte) string {
	h := sha256.New()
	for _, name := range names(files) {
		fmt.Fprintf(h, "%d %s %d\n", len(name), name, len(files[name]))
		h.Write(files[name])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// names returns the names of files in their order.
func names(files map[string][]byte) []string {
	all := make([]string, 0, len(files))
	for name := range files {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}

// compiler builds a Policy from a merged tree whose values are checked.
type compiler struct {
	policy  *Policy
	out     *sheet
	domains map[poplar.Domain]bool
}

func newCompiler(out *sheet) *compiler {
	return &compiler{
		out:     out,
		domains: make(map[poplar.Domain]bool),
		policy: &Policy{
			callers:   make(map[Hash]*Caller),
			spaceOf:   make(map[poplar.Workspace]*Workspace),
			modelOf:   make(map[poplar.Model]*Model),
			serviceOf: make(map[poplar.Service]*Service),
		},
	}
}

// run compiles each kind after those that it refers to.
func (c *compiler) run(root *node) {
	c.policy.numbers = setNumbers(root.kid("policy"))
	c.ranks(root.kid("ranks"))
	c.items(root, "domains", c.domain)
	c.items(root, "models", c.model)
	c.bases(root.kid("models"))
	c.items(root, "services", c.service)
	c.items(root, "budgets", c.budget)
	c.items(root, "workspaces", c.workspace)
	c.items(root, "upstreams", c.upstream)
	c.owners(root.kid("budgets"))
	rules := c.policy.rules
	sort.Slice(rules, func(i, j int) bool { return narrower(rules[i].pattern, rules[j].pattern) })
}

// items compiles the items of one kind in the order of their names. Names are
// cloned, or else the policy would keep the text of all files.
func (c *compiler) items(root *node, kind string, compile func(string, *node, *path)) {
	at := (*path)(nil).to(kind)
	table := root.kid(kind)
	for _, name := range sorted(table) {
		compile(strings.Clone(name), table.kid(name), at.to(name))
	}
}

// ranks compiles the rules of the ranks and checks them against each other.
func (c *compiler) ranks(n *node) {
	floors := 0.0
	for i, rule := range defaultRanks() {
		rank := poplar.Rank(i)
		own := n.kid(rank.String())
		rule.first = own.kid("first").span(rule.first)
		rule.worth = own.kid("worth").number(rule.worth)
		rule.floor = own.kid("floor").number(rule.floor)
		c.policy.ranks[i] = rule
		floors += rule.floor
		if first := own.kid("first"); i > 0 && rule.first < c.policy.ranks[i-1].first {
			c.crossed(n, first, "ranks."+rank.String()+".first", "below that of a more urgent rank")
		}
	}
	if floors >= 1 {
		c.crossed(n, nil, "ranks", fmt.Sprintf("the floors sum to %g; it must be less than 1", floors))
	}
}

// crossed notes a stray between ranks at the first node that is set.
func (c *compiler) crossed(ranks, own *node, field, text string) {
	if own == nil {
		own = ranks
	}
	c.out.add(own.src, int(own.at), field, "%s", text)
}

// domain compiles one failure domain.
func (c *compiler) domain(name string, n *node, _ *path) {
	d := Domain{name: poplar.Domain(name), region: strings.Clone(n.kid("region").string(""))}
	c.policy.domains = append(c.policy.domains, d)
	c.domains[d.name] = true
}

// model compiles one model.
func (c *compiler) model(name string, n *node, at *path) {
	m := &Model{name: poplar.Model(name), prefill: n.kid("prefill").number(1), decode: n.kid("decode").number(1)}
	if tokens := c.need(n, "tokens", at); tokens != nil {
		m.tokens = poplar.Tokens(tokens.whole(0))
	}
	m.place = c.placement(n, at)
	c.policy.models = append(c.policy.models, m)
	c.policy.modelOf[m.name] = m
}

// budget compiles one budget; owners checks its workspace later.
func (c *compiler) budget(name string, n *node, at *path) {
	b := &Budget{name: poplar.Budget(name)}
	if workspace := c.need(n, "workspace", at); workspace != nil {
		b.workspace = poplar.Workspace(workspace.text)
	}
	if tokens := c.need(n, "tokens", at); tokens != nil {
		b.tokens = poplar.Tokens(tokens.whole(0))
	}
	c.policy.budgets = append(c.policy.budgets, b)
}

// owners checks that the workspace of each budget exists and ties them.
func (c *compiler) owners(budgets *node) {
	for _, b := range c.policy.budgets {
		if owner := c.policy.spaceOf[b.workspace]; owner != nil {
			b.workspace = owner.name // shares its bytes with all budgets
			continue
		}
		if workspace := budgets.kid(string(b.name)).kid("workspace"); workspace != nil {
			c.unknown(workspace, (*path)(nil).to("budgets").to(string(b.name)).to("workspace"), "workspace")
		}
	}
}

// need returns the field name of n and notes a stray when it is not set.
func (c *compiler) need(n *node, name string, at *path) *node {
	kid := n.kid(name)
	if kid == nil {
		c.out.add(n.src, int(n.nameAt), at.to(name).String(), "is missing")
	}
	return kid
}

// unknown notes a reference to an item that does not exist.
func (c *compiler) unknown(n *node, at *path, kind string) {
	c.out.add(n.src, int(n.at), at.String(), "unknown %s %q", kind, n.text)
}

// sorted returns the names of the fields of n in their order.
func sorted(n *node) []string {
	var all []string
	n.each(func(name string, _ *node) { all = append(all, name) })
	sort.Strings(all)
	return all
}

// parseHash returns the hash with the given digits, which are checked.
func parseHash(text string) Hash {
	var h Hash
	raw, _ := hex.DecodeString(text)
	copy(h[:], raw)
	return h
}

// parseRank returns the rank with the given name, which is checked.
func parseRank(text string) poplar.Rank {
	rank, _ := poplar.ParseRank(text)
	return rank
}
