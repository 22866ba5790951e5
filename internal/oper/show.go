package oper

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// This file holds the commands that run a daemon and show its state.

// keyPrefix marks issued keys, so that logs can mask them.
const keyPrefix = "pbk-"

func (s *shell) serveCommand(serve Serve) *cobra.Command {
	return &cobra.Command{
		Use:   "serve SETTINGS",
		Short: "Run a daemon",
		Long: `serve runs one daemon with the settings in a file, in JSON with comments. On
SIGTERM or SIGINT it takes no new work, finishes its open streams and exits
with 0; a second signal hurries it.`,
		Example: "  poplarbend serve samples/adebayo/daemons/yaba-1.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := conf.Load(args[0])
			if err != nil {
				return err
			}
			return serve(cmd.Context(), settings)
		},
	}
}

func (s *shell) nodeCommand(node Node) *cobra.Command {
	return &cobra.Command{
		Use:   "node SETTINGS",
		Short: "Run a router or a control daemon",
		Long: `node runs one process of a fleet whose routers have no disk, with the settings
in a file, in JSON with comments: a router or a control daemon. On SIGTERM it
takes no new work and finishes what it has; on SIGHUP, and when the file
changes, it reads its settings again.`,
		Example: "  poplarbend node samples/node/router.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return node(cmd.Context(), args[0]) },
	}
}

func (s *shell) statusCommand() *cobra.Command {
	var why, budget string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the fleet as a daemon sees it",
		Example: `  poplarbend status --to 127.0.0.1:7103
  poplarbend status --budget ikeja-main
  poplarbend status --why ikeja/claim-17`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				if why != "" {
					return s.why(ctx, c, why)
				}
				status, err := c.Status(ctx, StatusQuery{Budget: poplar.Budget(budget)})
				if err != nil {
					return err
				}
				return s.print(status, func(w io.Writer) { status.write(w, time.Now()) })
			})
		},
	}
	cmd.Flags().StringVar(&why, "why", "", "WORKSPACE/KEY of a request: tell what became of it")
	cmd.Flags().StringVar(&budget, "budget", "", "show the shares of this budget only")
	return cmd
}

// why prints what became of a request.
func (s *shell) why(ctx context.Context, c *Client, name string) error {
	workspace, key, ok := strings.Cut(name, "/")
	if !ok || workspace == "" || key == "" {
		return fmt.Errorf("--why wants WORKSPACE/KEY, got %q", name)
	}
	found, err := c.Why(ctx, poplar.NewRequest(poplar.Workspace(workspace), poplar.Key(key)))
	if err != nil {
		return err
	}
	return s.print(found, func(w io.Writer) {
		fmt.Fprintf(w, "request %s/%s: ran: %s\n", found.Workspace, found.Key, found.Run)
		if b := found.Bill; b != nil {
			fmt.Fprintf(w, "billed %d tokens to %s in %s at %s (%s)\n", b.Tokens, b.Budget, b.Domain, b.At.Format(time.RFC3339), b.Outcome)
		}
		for _, e := range found.Events {
			fmt.Fprintf(w, "%s %s %s %s %s\n", e.At.Format(time.RFC3339Nano), e.Step, e.Peer, e.Code, e.Text)
		}
	})
}

// write prints a status for people; ages count up to now.
func (st Status) write(out io.Writer, now time.Time) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	state := "not ready"
	switch {
	case st.Draining:
		state = "draining"
	case st.Ready:
		state = "ready"
	}
	fmt.Fprintf(w, "daemon %s in %s: %s, revision %d, leader %s\n", st.Daemon, st.Domain, state, st.Revision, orNone(string(st.Leader)))
	fmt.Fprintln(w, "\nDOMAIN\tPRIMARY\tBACKUP\tEPOCH\tREVISION\tOPEN\tISSUED\tSETTLED\tRESERVED\tFREE\tLAST CONTACT")
	for _, d := range st.Domains {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", d.Domain, orNone(string(d.Primary)), orNone(string(d.Backup)),
			d.Epoch, d.Revision, d.Open, d.Share.Issued, d.Share.Settled, d.Share.Reserved, d.Share.Free, age(d.Contact, now))
	}
	if len(st.Voters) > 0 {
		fmt.Fprintln(w, "\nVOTER\tDURABLE\tLAST CONTACT")
	}
	for _, v := range st.Voters {
		fmt.Fprintf(w, "%s\t%d\t%s\n", v.Name, v.Durable, age(v.Contact, now))
	}
	if len(st.Upstreams) > 0 {
		fmt.Fprintln(w, "\nUPSTREAM\tDOMAIN\tIN FLIGHT\tLEAVING\tLAST CONTACT")
	}
	for _, u := range st.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%d\t%v\t%s\n", u.Name, u.Domain, u.Flight, u.Leaving, age(u.Contact, now))
	}
	st.writeIssuers(w, now)
	if len(st.Suspects) > 0 {
		fmt.Fprintln(w, "\nSUSPECT\tCRASHES\tREFUSED")
	}
	for _, p := range st.Suspects {
		fmt.Fprintf(w, "%s\t%d\t%v\n", p.Print, p.Crashes, p.Refused)
	}
	w.Flush()
}

// writeIssuers prints who gives orders, and the open ones.
func (st Status) writeIssuers(w io.Writer, now time.Time) {
	if len(st.Issuers) == 0 {
		return
	}
	fmt.Fprintln(w, "\nISSUER\tDOMAIN\tFENCE\tOPEN ORDERS\tLAST CONTACT")
	for _, i := range st.Issuers {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\n", i.Daemon, i.Domain, i.Fence, len(i.Orders), age(i.Contact, now))
	}
	for _, i := range st.Issuers {
		for _, o := range i.Orders {
			fmt.Fprintf(w, "order %d.%d\t%s\t%s %s%s %s\t%s\n", o.Fence, o.Number, o.Upstream, o.Verb, o.Model, o.Role, o.Version, o.Reason)
		}
	}
}

// age returns the time since contact for people.
func age(contact *time.Time, now time.Time) string {
	if contact == nil {
		return "never"
	}
	return now.Sub(*contact).Round(100*time.Millisecond).String() + " ago"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func (s *shell) billsCommand() *cobra.Command {
	var query BillQuery
	var workspace, budget string
	cmd := &cobra.Command{
		Use:     "bills",
		Short:   "List settled bills",
		Example: "  poplarbend bills --workspace ikeja --limit 20\n  poplarbend bills --budget ikeja-main --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query.Workspace, query.Budget = poplar.Workspace(workspace), poplar.Budget(budget)
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				bills, err := c.Bills(ctx, query)
				if err != nil {
					return err
				}
				return s.print(bills, bills.write)
			})
		},
	}
	cmd.Flags().StringVar(&workspace, "workspace", "", "bills of this workspace only")
	cmd.Flags().StringVar(&budget, "budget", "", "bills of this budget only")
	cmd.Flags().StringVar(&query.After, "after", "", "the page after, as the page before named it")
	cmd.Flags().IntVar(&query.Limit, "limit", defaultBills, "most bills to list")
	return cmd
}

// write prints bills for people.
func (b Bills) write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tWORKSPACE\tBUDGET\tKEY\tDOMAIN\tTOKENS\tOUTCOME")
	for _, bill := range b.Bills {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", bill.At.UTC().Format(time.RFC3339), bill.Workspace, bill.Budget, bill.Key, bill.Domain, bill.Tokens, bill.Outcome)
	}
	w.Flush()
	if b.Next != "" {
		fmt.Fprintf(out, "more with --after %s\n", b.Next)
	}
}

func (s *shell) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "drain",
		Short:   "Begin the planned stop of a daemon",
		Long:    "drain makes the daemon at --to take no new work, finish its open streams, give\nback what it holds and exit. It returns at once; status shows the rest.",
		Example: "  poplarbend drain --to 127.0.0.1:7103",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				if err := c.Drain(ctx); err != nil {
					return err
				}
				return s.print(nothing{}, func(w io.Writer) { fmt.Fprintf(w, "%s is draining\n", s.to) })
			})
		},
	}
}

func (s *shell) releaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "release FINGERPRINT",
		Short:   "Let a request that crashed upstreams run again",
		Long:    "release lets a request run again that is refused everywhere since it was in\nflight when upstreams crashed. status lists the fingerprints.",
		Example: "  poplarbend release 9f3c21a07be4d810",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				if err := c.Release(ctx, args[0]); err != nil {
					return err
				}
				return s.print(nothing{}, func(w io.Writer) { fmt.Fprintf(w, "%s may run again\n", args[0]) })
			})
		},
	}
}

// hashed is what hash prints.
type hashed struct {
	Key  string `json:"key,omitempty"`
	Hash string `json:"hash"`
}

func (s *shell) hashCommand() *cobra.Command {
	var fresh bool
	cmd := &cobra.Command{
		Use:     "hash",
		Short:   "Print the hash of a key read from stdin",
		Long:    "hash reads one key from stdin and prints the hash that stands for it in the\nfolder or the settings. With --new it makes a random key and prints both.",
		Example: "  poplarbend hash < key.txt\n  poplarbend hash --new",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if fresh {
				key := keyPrefix + rand.Text()
				made := hashed{Key: key, Hash: conf.HashKey(key).String()}
				return s.print(made, func(w io.Writer) { fmt.Fprintf(w, "key:  %s\nhash: %s\n", made.Key, made.Hash) })
			}
			key, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			if err != nil && !errors.Is(err, io.EOF) {
				return fmt.Errorf("read key: %w", err)
			}
			key = strings.TrimSpace(key)
			if key == "" {
				return errors.New("read key: stdin is empty")
			}
			made := hashed{Hash: conf.HashKey(key).String()}
			return s.print(made, func(w io.Writer) { fmt.Fprintln(w, made.Hash) })
		},
	}
	cmd.Flags().BoolVar(&fresh, "new", false, "make a random key")
	return cmd
}

// build is what version prints.
type build struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
}

// Version returns the version of the program.
func Version() string { return versionOf().Version }

func versionOf() build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build{Version: "unknown"}
	}
	b := build{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			b.Revision = setting.Value
		}
	}
	return b
}

func (s *shell) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  poplarbend version --json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			b := versionOf()
			return s.print(b, func(w io.Writer) { fmt.Fprintf(w, "poplarbend %s %s %s\n", b.Version, b.Go, b.Revision) })
		},
	}
}
