package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/fault"
)

// This file holds the root of the commands and what they share.

// Environment variables that stand in for flags.
const (
	envTo     = "POPLARBEND_TO"
	envSecret = "POPLARBEND_SECRET"
	envBy     = "POPLARBEND_BY"
)

const (
	defaultTo   = "127.0.0.1:7103"
	callTimeout = 30 * time.Second
)

// Serve runs a daemon with the given settings until it has drained.
type Serve func(ctx context.Context, settings *conf.Settings) error

// Node runs a router or a control daemon with the settings in a file until it is
// stopped.
type Node func(ctx context.Context, file string) error

// shell is what the commands share.
type shell struct {
	to      string
	secret  string
	json    bool
	timeout time.Duration // a setting; run turns it into a deadline
	out     io.Writer
}

// Command returns the command poplarbend with its subcommands.
func Command(serve Serve, node Node) *cobra.Command {
	s := &shell{}
	root := &cobra.Command{
		Use:   "poplarbend",
		Short: "Run and operate a router fleet for prepaid token budgets",
		Long: `poplarbend runs the daemons of a router fleet and operates them.

Commands that talk to a daemon use the address of its operators' listener
(--to or $` + envTo + `) and the credential in a file (--secret or
$` + envSecret + `).`,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRun: func(cmd *cobra.Command, _ []string) {
			s.out = cmd.OutOrStdout()
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&s.to, "to", fromEnv(envTo, defaultTo), "address of a daemon's operators' listener")
	flags.StringVar(&s.secret, "secret", os.Getenv(envSecret), "file that holds the operators' credential")
	flags.BoolVar(&s.json, "json", false, "print JSON")
	flags.DurationVar(&s.timeout, "timeout", callTimeout, "longest time to wait for an answer")
	root.AddCommand(
		s.serveCommand(serve), s.nodeCommand(node), s.checkCommand(), s.diffCommand(), s.applyCommand(), s.topupCommand(), s.statusCommand(),
		s.billsCommand(), s.drainCommand(), s.releaseCommand(), s.forceCommand(), s.hashCommand(), s.versionCommand(),
		s.traceCommand(),
	)
	return root
}

// Main runs the command with args and returns the exit status: 0 on success, 1
// on failure. Errors go to stderr and say what to do.
func Main(ctx context.Context, serve Serve, node Node, args []string, stdout, stderr io.Writer) int {
	root := Command(serve, node)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	if asJSON, _ := root.PersistentFlags().GetBool("json"); asJSON {
		fmt.Fprintf(stderr, "%s\n", describe(err))
		return 1
	}
	fmt.Fprintf(stderr, "poplarbend: %v\n", err)
	if hint := advise(err); hint != "" {
		fmt.Fprintf(stderr, "hint: %s\n", hint)
	}
	return 1
}

// describe returns err as JSON: strays, a problem, or its text.
func describe(err error) []byte {
	var strays conf.Strays
	var e *poplar.Error
	var body []byte
	switch {
	case errors.As(err, &strays):
		body, _ = json.Marshal(map[string]conf.Strays{"strays": strays})
	case errors.As(err, &e):
		body = fault.Encode(err)
	default:
		body, _ = json.Marshal(map[string]string{"error": err.Error()})
	}
	return body
}

// advise returns what an operator may do about err.
func advise(err error) string {
	var strays conf.Strays
	var e *poplar.Error
	switch {
	case errors.As(err, &strays):
		return "mend the lines above; nothing was changed"
	case errors.As(err, &e) && e.Code() == poplar.CodeCorrupt:
		return "replace the disk, keep the damaged folder, and start with an empty one; the daemon is repaired from its peers (docs/ops/disk.md)"
	case errors.As(err, &e) && e.Run() == poplar.RunUnknown:
		return "it may or may not have taken effect; run the same command with the same number or id again, which is harmless"
	case errors.As(err, &e):
		return advice[e.Code()]
	case errors.Is(err, syscall.EADDRINUSE):
		return "another process listens there; stop it, or change the address under listen in the settings"
	case errors.Is(err, fs.ErrNotExist):
		return "check the path"
	default:
		return "run the command with --help for its use and examples"
	}
}

var advice = map[poplar.Code]string{
	poplar.CodeAuth:        "give the file of the operators' credential with --secret or $" + envSecret,
	poplar.CodeConflict:    "nothing was changed; `poplarbend diff` shows what is in force, then apply with the next number, or top up with a new id",
	poplar.CodeStale:       "nothing was changed; run `poplarbend diff` again and apply with the number that it shows",
	poplar.CodeUnreachable: "nothing was changed; choose another daemon with --to, or try again once the fleet has a majority",
	poplar.CodeTimeout:     "choose another daemon with --to, or a longer --timeout",
	poplar.CodeInvalid:     "nothing was changed; mend what is named above",
	poplar.CodeMissing:     "check the name; `poplarbend status` shows what there is",
	poplar.CodeDrain:       "this daemon is stopping; choose another with --to",
}

// run calls do with a client and a deadline.
func (s *shell) run(ctx context.Context, do func(context.Context, *Client) error) error {
	token, err := conf.Secret{File: s.secret}.Token()
	if err != nil {
		return err
	}
	client, err := Dial(s.to, token)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return do(ctx, client)
}

// print writes value as JSON with --json, else the text that plain writes.
func (s *shell) print(value any, plain func(io.Writer)) error {
	var out bytes.Buffer
	if !s.json {
		plain(&out)
	} else if err := json.NewEncoder(&out).Encode(value); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if _, err := s.out.Write(out.Bytes()); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// fromEnv returns the environment variable name, or other when it is empty.
func fromEnv(name, other string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return other
}

// operator returns the name that changes and top-ups are made under.
func operator() string {
	return fromEnv(envBy, fromEnv("USER", "operator"))
}
