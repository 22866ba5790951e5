// Command standin runs a stand-in for an upstream: an engine or a plain
// service that announces itself to the routers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/fake"
)

// leaveTimeout bounds the wait for open streams after a signal.
const leaveTimeout = 60 * time.Second

// upstream is what both kinds of stand-ins offer.
type upstream interface {
	Address() string
	Leave(ctx context.Context)
}

func main() { os.Exit(start()) }

func start() int {
	root := &cobra.Command{
		Use:           "standin engine|service",
		Short:         "Stand in for an upstream of the fleet",
		Example:       "  standin engine --name e1 --domain north --announce 127.0.0.1:7001",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(
		command("engine", "Run an engine that streams tokens", startEngine),
		command("service", "Run a plain service that counts its runs", startService),
	)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func startEngine(set fake.Settings) (upstream, error) {
	set.Crash = func() { os.Exit(3) }
	return fake.StartEngine(set)
}

func startService(set fake.Settings) (upstream, error) { return fake.StartService(set) }

func command(use, short string, begin func(fake.Settings) (upstream, error)) *cobra.Command {
	var set fake.Settings
	var name, domain string
	var models, services []string
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set.Name, set.Domain = poplar.Upstream(name), poplar.Domain(domain)
			for _, m := range models {
				set.Models = append(set.Models, poplar.Model(m))
			}
			for _, s := range services {
				set.Services = append(set.Services, poplar.Service(s))
			}
			return serve(cmd, set, begin)
		},
	}
	f := c.Flags()
	f.StringVar(&name, "name", use, "name of the upstream")
	f.StringVar(&domain, "domain", "local", "failure domain")
	f.StringVar(&set.Listen, "listen", "127.0.0.1:0", "address to listen on")
	f.StringSliceVar(&set.Announce, "announce", nil, "intake addresses of routers")
	f.StringSliceVar(&models, "model", nil, "models of an engine")
	f.StringSliceVar(&services, "service", nil, "services of a plain service")
	f.IntVar(&set.Slots, "slots", 0, "requests that run at once")
	f.DurationVar(&set.Step, "step", 20*time.Millisecond, "time between tokens")
	f.DurationVar(&set.Prefill, "prefill", time.Millisecond, "time for each uncached prompt block")
	f.IntVar(&set.Blocks, "blocks", 0, "bound of the prefix cache")
	f.DurationVar(&set.Lag, "lag", time.Second, "age of reported load")
	f.DurationVar(&set.Late, "late", time.Second, "delay of cache events")
	f.Float64Var(&set.Lose, "lose", 0, "share of cache events lost")
	f.BoolVar(&set.NoResume, "no-resume", false, "do not keep streams for resuming")
	f.Float64Var(&set.Memory, "memory", 0, "bytes for weights; an engine with them takes orders")
	f.BoolVar(&set.Bare, "bare", false, "start an engine without any model")
	f.BoolVar(&set.Fenced, "fenced", false, "refuse orders with an old fence")
	return c
}

func serve(cmd *cobra.Command, set fake.Settings, begin func(fake.Settings) (upstream, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := log.NewWithOptions(cmd.ErrOrStderr(), log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	set.Told = func(address string, err error) {
		if err != nil {
			logger.Warn("not announced", "upstream", string(set.Name), "to", address, "error", err)
			return
		}
		logger.Info("announced again", "upstream", string(set.Name), "to", address)
	}
	u, err := begin(set)
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), `{"name":%q,"address":%q}`+"\n", set.Name, u.Address())
	<-ctx.Done()
	stop()
	bounded, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	u.Leave(bounded)
	return nil
}
