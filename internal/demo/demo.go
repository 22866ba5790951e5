// Package demo sets up a small fleet on loopback addresses and runs the main
// job on it: three daemons in three failure domains, stand-ins for upstreams, a
// served stream, its retry, a claim, a refused overspend and the bills. Every
// step is checked, so a finished demo means that all of it was true.
package demo

import (
	"context"
	"embed"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fake"
)

// This file holds the fleet of the demo: its addresses, daemons and stand-ins.

//go:embed folder
var folder embed.FS

// domains are the failure domains, with one daemon each.
var domains = []poplar.Domain{"ikeja", "yaba", "lekki"}

// Daemon is a daemon in this process.
type Daemon interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Assemble makes a daemon that writes its log to out.
type Assemble func(settings *conf.Settings, out io.Writer) (Daemon, error)

// fleet is what the demo runs.
type fleet struct {
	dir      string
	settings []*conf.Settings // invariant: one for each of domains
	daemons  []Daemon         // invariant: those that have started
	engines  []*fake.Engine
	desk     *fake.Service
	log      *os.File
}

// newFleet writes the folder and the settings into dir.
func newFleet(dir string) (*fleet, error) {
	f := &fleet{dir: dir}
	if err := os.CopyFS(dir, folder); err != nil {
		return nil, fmt.Errorf("write folder: %w", err)
	}
	var err error
	if f.settings, err = Layout(dir, domains, 1); err != nil {
		return nil, err
	}
	f.log, err = os.Create(filepath.Join(dir, "daemons.log"))
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return f, nil
}

// start starts the daemons.
func (f *fleet) start(ctx context.Context, assemble Assemble) error {
	for _, settings := range f.settings {
		d, err := assemble(settings, f.log)
		if err != nil {
			return fmt.Errorf("daemon %s: %w", settings.Name, err)
		}
		if err := d.Start(ctx); err != nil {
			return fmt.Errorf("daemon %s: %w", settings.Name, err)
		}
		f.daemons = append(f.daemons, d)
	}
	return nil
}

// standIn starts an engine in each failure domain, which announces itself to
// the daemon there, and one plain service, which announces itself everywhere.
func (f *fleet) standIn() error {
	var everywhere []string
	for _, settings := range f.settings {
		everywhere = append(everywhere, settings.Listen.Upstreams)
		engine, err := fake.StartEngine(fake.Settings{
			Name:     poplar.Upstream("timing-" + string(settings.Domain)),
			Domain:   settings.Domain,
			Announce: []string{settings.Listen.Upstreams},
			Models:   []poplar.Model{"retime"},
		})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, engine)
	}
	var err error
	f.desk, err = fake.StartService(fake.Settings{
		Name: "jobdesk-1", Domain: domains[0], Announce: everywhere, Services: []poplar.Service{"jobdesk"},
	})
	return err
}

// generated returns the tokens that all engines generated.
func (f *fleet) generated() poplar.Tokens {
	var sum poplar.Tokens
	for _, engine := range f.engines {
		sum += engine.Total()
	}
	return sum
}

// stop makes the planned stop of every daemon and ends the stand-ins.
func (f *fleet) stop(ctx context.Context) error {
	var failed error
	for _, d := range f.daemons {
		if err := d.Stop(ctx); err != nil && failed == nil {
			failed = err
		}
	}
	f.daemons = nil
	for _, engine := range f.engines {
		engine.Kill()
	}
	f.engines = nil
	if f.desk != nil {
		f.desk.Kill()
		f.desk = nil
	}
	return failed
}
