package conf

import (
	"bytes"
	"crypto/subtle"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"poplarbend.example/poplar"
)

// This file holds the settings of one daemon.

// Settings are what a daemon knows when it starts. They never change while it
// runs.
type Settings struct {
	// Name is the daemon's name in the fleet, stable over restarts.
	Name   poplar.Daemon `json:"name"`
	Domain poplar.Domain `json:"domain"`
	// Data is the data folder. A daemon without one only routes.
	Data   string `json:"data,omitempty"`
	Listen Listen `json:"listen"`
	// Peers are addresses of other daemons' peer listeners to start from.
	Peers []string `json:"peers,omitempty"`
	// Voters are the first voters of the log with their peer addresses. They
	// are read only while a data folder is empty.
	Voters map[poplar.Daemon]string `json:"voters,omitempty"`
	// Ledgers are the first holders of each domain's ledger, primary first.
	// They are read only while the log is empty.
	Ledgers map[poplar.Domain][]poplar.Daemon `json:"ledgers,omitempty"`
	Secrets Secrets                           `json:"secrets"`
	Trace   Trace                             `json:"trace"`
	// Log is the lowest level that is logged: debug, info, warn or error.
	Log    string `json:"log"`
	Limits Limits `json:"limits"`
	// Drain is how long a planned stop waits for open streams before it hands
	// the rest over.
	Drain time.Duration `json:"drain"`
}

// Listen holds the addresses of the listeners, each an IP number and a port.
type Listen struct {
	Callers   string `json:"callers"`
	Upstreams string `json:"upstreams"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Secrets hold the credentials of the listeners that need one.
type Secrets struct {
	Peers     Secret `json:"peers"`
	Operators Secret `json:"operators"`
	Upstreams Secret `json:"upstreams"`
}

// Secret is a bearer credential, given by a file that holds it or by its hash.
type Secret struct {
	// File holds the credential. Peers need it, since they also present it.
	File string `json:"file,omitempty"`
	// Hash is the SHA-256 of the credential in hexadecimal digits.
	Hash string `json:"hash,omitempty"`
}

// Empty reports whether no credential is set.
func (s Secret) Empty() bool { return s.File == "" && s.Hash == "" }

// Token returns the credential in the file, without space around it, or "" when
// only its hash is known.
func (s Secret) Token() (string, error) {
	if s.File == "" {
		return "", nil
	}
	raw, err := os.ReadFile(s.File)
	if err != nil {
		return "", fmt.Errorf("read credential: %w", err)
	}
	token := string(bytes.TrimSpace(raw))
	if token == "" {
		return "", fmt.Errorf("read credential: %s is empty", s.File)
	}
	return token, nil
}

// Gate returns what checks a presented credential. The gate of an empty secret
// is open.
func (s Secret) Gate() (Gate, error) {
	if s.Empty() {
		return Gate{open: true}, nil
	}
	if s.Hash != "" {
		return Gate{hash: parseHash(s.Hash)}, nil
	}
	token, err := s.Token()
	return Gate{hash: HashKey(token)}, err
}

// Gate checks credentials. The zero value lets none pass.
type Gate struct {
	open bool
	hash Hash
}

// Admits reports whether token is the credential, in constant time.
func (g Gate) Admits(token string) bool {
	hash := HashKey(token)
	return g.open || subtle.ConstantTimeCompare(hash[:], g.hash[:]) == 1
}

// Trace chooses where spans go.
type Trace struct {
	// Kind is none, file or otlp.
	Kind string `json:"kind"`
	// Target is the file, or the URL of an OTLP collector over HTTP.
	Target string `json:"target,omitempty"`
	// Portion is the portion of requests that is traced, when the caller does
	// not say.
	Portion float64 `json:"portion"`
}

// Limits bound what a caller can make the daemon hold.
type Limits struct {
	// Body and Header bound a request, in bytes.
	Body   int64 `json:"body"`
	Header int   `json:"header"`
	// Streams bounds the requests in flight.
	Streams int `json:"streams"`
	// Idle is how long a connection without a request stays open.
	Idle time.Duration `json:"idle"`
	// Read is how long a caller may take to send a request.
	Read time.Duration `json:"read"`
	// Write is how long one write to a slow caller may block.
	Write time.Duration `json:"write"`
}

// Load reads the settings in the file at path. Relative paths in it start from
// the folder of the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	settings, err := ParseSettings(path, data)
	if err != nil {
		return nil, err
	}
	settings.rebase(filepath.Dir(path))
	return settings, nil
}

// rebase makes relative paths start from dir.
func (s *Settings) rebase(dir string) {
	paths := []*string{&s.Data, &s.Secrets.Peers.File, &s.Secrets.Operators.File, &s.Secrets.Upstreams.File}
	if s.Trace.Kind == TraceFile {
		paths = append(paths, &s.Trace.Target)
	}
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}
