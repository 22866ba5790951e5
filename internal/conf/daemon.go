package conf

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the fields of the settings, their bounds, and their reading.

// The kinds of trace exporters.
const (
	TraceNone = "none"
	TraceFile = "file"
	TraceOTLP = "otlp"
)

// Bounds and defaults of the settings.
const (
	leastBody      = 1 << 10
	defaultBody    = 4 << 20
	mostBody       = 256 << 20
	defaultHeader  = 32 << 10
	mostHeader     = 1 << 20
	defaultStreams = 4096
	mostStreams    = 1 << 20
	defaultIdle    = 2 * time.Minute
	defaultRead    = 30 * time.Second
	defaultWrite   = 30 * time.Second
	defaultDrain   = 10 * time.Minute
	mostHolders    = 2
)

var secretShape = record{"file": text(filled), "hash": text(hashed)}

var settingsShape = record{
	"name":    text(named),
	"domain":  text(named),
	"data":    text(filled),
	"listen":  record{"callers": address, "upstreams": address, "peers": address, "operators": address},
	"peers":   list{address},
	"voters":  table{named, address},
	"ledgers": table{named, list{text(named)}},
	"secrets": record{"peers": secretShape, "operators": secretShape, "upstreams": secretShape},
	"trace":   record{"kind": oneOf(TraceNone, TraceFile, TraceOTLP), "target": text(filled), "portion": number(0, 1)},
	"log":     oneOf("debug", "info", "warn", "error"),
	"limits": record{
		"body":    whole(leastBody, mostBody),
		"header":  whole(leastBody, mostHeader),
		"streams": whole(1, mostStreams),
		"idle":    span(time.Second, day),
		"read":    span(time.Second, time.Hour),
		"write":   span(time.Second, time.Hour),
	},
	"drain": span(time.Second, day),
}

var address = text(func(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("want an IP number and a port such as %q, got %q", "127.0.0.1:7100", text)
	}
	return nil
})

// ParseSettings reads settings. The error is a Strays, whose file is name.
func ParseSettings(name string, data []byte) (*Settings, error) {
	return compile(name, data, settingsShape, func(c *compiler, root *node) *Settings {
		s := c.settings(root)
		c.checkListeners(root)
		c.checkVoters(root, s)
		c.checkTrace(root.kid("trace"))
		return s
	})
}

// compile turns a file of settings into a value, by what its fields must be and
// by read, which is called on a tree of that shape.
func compile[T any](name string, data []byte, shape record, read func(c *compiler, root *node) *T) (*T, error) {
	out := &sheet{}
	root := parse(name, data, out)
	if root == nil {
		return nil, out.err()
	}
	noNulls(root, nil, out)
	shape.check(root, nil, out)
	if err := out.err(); err != nil {
		return nil, err
	}
	value := read(newCompiler(out), root)
	if err := out.err(); err != nil {
		return nil, err
	}
	return value, nil
}

// noNulls notes every null: settings are one file, so null removes nothing.
func noNulls(n *node, at *path, out *sheet) {
	n.each(func(name string, kid *node) {
		if kid.kind == kindNull {
			out.add(kid.src, int(kid.at), at.to(name).String(), "null has no meaning in settings; leave the field out")
		}
		noNulls(kid, at.to(name), out)
	})
}

// settings reads a checked tree.
func (c *compiler) settings(root *node) *Settings {
	s := &Settings{
		Data:    root.kid("data").string(""),
		Peers:   texts[string](root.kid("peers")),
		Voters:  make(map[poplar.Daemon]string),
		Ledgers: make(map[poplar.Domain][]poplar.Daemon),
		Log:     root.kid("log").string("info"),
		Limits:  limits(root.kid("limits")),
		Drain:   root.kid("drain").span(defaultDrain),
	}
	s.Name = poplar.Daemon(c.need(root, "name", nil).string(""))
	s.Domain = poplar.Domain(c.need(root, "domain", nil).string(""))
	s.Listen = c.listen(root)
	secrets := root.kid("secrets")
	s.Secrets = Secrets{
		Peers:     secret(secrets.kid("peers")),
		Operators: secret(secrets.kid("operators")),
		Upstreams: secret(secrets.kid("upstreams")),
	}
	trace := root.kid("trace")
	s.Trace = Trace{
		Kind:    trace.kid("kind").string(TraceNone),
		Target:  trace.kid("target").string(""),
		Portion: trace.kid("portion").number(1),
	}
	root.kid("voters").each(func(name string, kid *node) { s.Voters[poplar.Daemon(name)] = kid.text })
	root.kid("ledgers").each(func(name string, kid *node) {
		s.Ledgers[poplar.Domain(name)] = texts[poplar.Daemon](kid)
	})
	return s
}

// listen reads the addresses, all of which are needed.
func (c *compiler) listen(root *node) Listen {
	listen := c.need(root, "listen", nil)
	if listen == nil {
		return Listen{}
	}
	at := (*path)(nil).to("listen")
	get := func(name string) string { return c.need(listen, name, at).string("") }
	return Listen{Callers: get("callers"), Upstreams: get("upstreams"), Peers: get("peers"), Operators: get("operators")}
}

// limits reads the limits.
func limits(n *node) Limits {
	return Limits{
		Body:    n.kid("body").whole(defaultBody),
		Header:  int(n.kid("header").whole(defaultHeader)),
		Streams: int(n.kid("streams").whole(defaultStreams)),
		Idle:    n.kid("idle").span(defaultIdle),
		Read:    n.kid("read").span(defaultRead),
		Write:   n.kid("write").span(defaultWrite),
	}
}

// secret reads a credential.
func secret(n *node) Secret {
	return Secret{File: n.kid("file").string(""), Hash: n.kid("hash").string("")}
}

// texts returns the strings of a list.
func texts[S ~string](n *node) []S {
	if n == nil {
		return nil
	}
	all := make([]S, len(n.items()))
	for i, item := range n.items() {
		all[i] = S(item.text)
	}
	return all
}

// checkListeners notes listeners that would be open to the network without a
// credential, doubled addresses, and secrets that cannot work.
func (c *compiler) checkListeners(root *node) {
	listen, secrets := root.kid("listen"), root.kid("secrets")
	seen := make(map[string]string)
	listen.each(func(name string, kid *node) {
		at, _ := netip.ParseAddrPort(kid.text)
		if other, ok := seen[kid.text]; ok && at.Port() != 0 {
			c.out.add(kid.src, int(kid.at), "listen."+name, "doubled: %s listens there", other)
		}
		seen[kid.text] = name
		guarded := name == "peers" || name == "operators"
		if guarded && secret(secrets.kid(name)).Empty() && !at.Addr().IsLoopback() {
			c.out.add(kid.src, int(kid.at), "listen."+name, "needs secrets.%s unless the address is loopback", name)
		}
	})
	secrets.each(func(name string, kid *node) {
		s := secret(kid)
		if (s.File == "") == (s.Hash == "") {
			c.out.add(kid.src, int(kid.at), "secrets."+name, "needs either a file or a hash")
		}
		if name == "peers" && s.File == "" && s.Hash != "" {
			c.out.add(kid.src, int(kid.at), "secrets.peers", "needs a file, since a daemon also presents the credential")
		}
	})
}

// checkVoters notes voters and ledger holders that cannot work.
func (c *compiler) checkVoters(root *node, s *Settings) {
	if n := root.kid("voters"); n != nil && len(s.Voters)%2 == 0 {
		c.out.add(n.src, int(n.at), "voters", "want an odd number of voters, got %d", len(s.Voters))
	}
	if _, votes := s.Voters[s.Name]; votes && s.Data == "" {
		n := root.kid("voters").kid(string(s.Name))
		c.out.add(n.src, int(n.nameAt), "voters."+string(s.Name), "this daemon votes and needs a data folder in data")
	}
	home := make(map[string]string)
	root.kid("ledgers").each(func(domain string, kid *node) {
		if len(kid.items()) == 0 || len(kid.items()) > mostHolders {
			c.out.add(kid.src, int(kid.at), "ledgers."+domain, "want one or two daemons, got %d", len(kid.items()))
		}
		for _, item := range kid.items() {
			if other, ok := home[item.text]; ok {
				c.out.add(item.src, int(item.at), "ledgers."+domain, "daemon %s holds the ledger of %s", item.text, other)
			}
			home[item.text] = domain
		}
	})
}

// checkTrace notes an exporter without a target that fits it.
func (c *compiler) checkTrace(n *node) {
	kind, target := n.kid("kind").string(TraceNone), n.kid("target")
	if kind != TraceNone && target == nil {
		c.out.add(n.src, int(n.at), "trace.target", "is missing; kind %s needs it", kind)
		return
	}
	if kind != TraceOTLP {
		return
	}
	u, err := url.Parse(target.text)
	if err != nil || u.Host == "" || !strings.HasPrefix(u.Scheme, "http") {
		c.out.add(target.src, int(target.at), "trace.target", "want a URL such as %q", "http://127.0.0.1:4318")
	}
}
