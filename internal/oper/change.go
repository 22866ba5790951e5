package oper

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/diff"
	"github.com/spf13/cobra"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// This file holds the commands that check and change the folder and budgets.

const (
	// forceTime is how long apply waits for a change to come into force at the
	// daemon that took it: what a change may take to be in force everywhere.
	forceTime = 6 * time.Second
	forcePoll = 100 * time.Millisecond
)

// summary is what check prints.
type summary struct {
	Files      int `json:"files"`
	Workspaces int `json:"workspaces"`
	Budgets    int `json:"budgets"`
	Models     int `json:"models"`
	Services   int `json:"services"`
	Domains    int `json:"domains"`
}

func (s *shell) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FOLDER|SETTINGS",
		Short:   "Check an operators' folder, or the settings of a node, without a daemon",
		Long:    "check merges the files of a folder in the order of their names and prints every\nmistake with its file, line, column and field. Given a file, it checks the settings\nof a router or a control daemon. It needs no daemon.",
		Example: "  poplarbend check samples/adebayo/folder\n  poplarbend check samples/node/router.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if info, err := os.Stat(args[0]); err == nil && !info.IsDir() {
				return s.checkProcess(args[0])
			}
			files, policy, err := readFolder(args[0])
			if err != nil {
				return err
			}
			sum := summary{
				Files:      len(files),
				Workspaces: len(policy.Workspaces()),
				Budgets:    len(policy.Budgets()),
				Models:     len(policy.Models()),
				Services:   len(policy.Services()),
				Domains:    len(policy.Domains()),
			}
			return s.print(sum, func(w io.Writer) {
				fmt.Fprintf(w, "ok: %d files, %d workspaces, %d budgets, %d models, %d services, %d domains\n",
					sum.Files, sum.Workspaces, sum.Budgets, sum.Models, sum.Services, sum.Domains)
			})
		},
	}
}

// checkProcess checks the settings of a router or a control daemon.
func (s *shell) checkProcess(file string) error {
	settings, err := conf.LoadProcess(file)
	if err != nil {
		return err
	}
	return s.print(settings, func(w io.Writer) {
		fmt.Fprintf(w, "ok: %s %s in %s, %d seeds\n", settings.Role, settings.Name, settings.Domain, len(settings.Seeds))
	})
}

// readFolder reads and compiles a folder.
func readFolder(dir string) (map[string][]byte, *conf.Policy, error) {
	files, err := conf.Folder(dir)
	if err != nil {
		return nil, nil, err
	}
	if len(files) == 0 {
		return nil, nil, fmt.Errorf("folder %s has no .json or .jsonc file", dir)
	}
	policy, err := conf.Merge(files)
	return files, policy, err
}

// difference is what diff prints: a folder against what is in force.
type difference struct {
	Revision poplar.Revision `json:"revision"`
	// Next is the number that a change must have.
	Next  poplar.Revision `json:"next"`
	Files []fileChange    `json:"files"`
}

// fileChange is one file that differs.
type fileChange struct {
	Name string `json:"name"`
	// Kind is added, changed or removed.
	Kind string `json:"kind"`
	// Text is the difference by lines.
	Text string `json:"text"`
}

// compare returns how the folder differs from what is in force, and the change
// that would bring the folder into force.
func compare(held Files, folder map[string][]byte) (difference, map[string]*string) {
	d := difference{Revision: held.Revision, Next: held.Revision + 1, Files: []fileChange{}}
	change := make(map[string]*string)
	note := func(name, kind, old, body string) {
		text := diff.Diff("in force/"+name, []byte(old), "folder/"+name, []byte(body))
		d.Files = append(d.Files, fileChange{Name: name, Kind: kind, Text: string(text)})
	}
	for name, raw := range folder {
		body := string(raw)
		old, had := held.Files[name]
		if had && old == body {
			continue
		}
		kind := "changed"
		if !had {
			kind = "added"
		}
		note(name, kind, old, body)
		change[name] = &body
	}
	for name, old := range held.Files {
		if _, kept := folder[name]; !kept {
			note(name, "removed", old, "")
			change[name] = nil
		}
	}
	sort.Slice(d.Files, func(i, j int) bool { return d.Files[i].Name < d.Files[j].Name })
	return d, change
}

func (s *shell) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FOLDER",
		Short:   "Show how a folder differs from what is in force",
		Example: "  poplarbend diff samples/adebayo/folder --to 127.0.0.1:7103",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, _, err := readFolder(args[0])
			if err != nil {
				return err
			}
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				held, err := c.Files(ctx)
				if err != nil {
					return err
				}
				d, _ := compare(held, folder)
				return s.print(d, d.write)
			})
		},
	}
}

// write prints a difference for people.
func (d difference) write(w io.Writer) {
	if len(d.Files) == 0 {
		fmt.Fprintf(w, "no difference: revision %d is in force\n", d.Revision)
		return
	}
	for _, f := range d.Files {
		fmt.Fprintf(w, "%s %s\n%s", f.Kind, f.Name, f.Text)
	}
	fmt.Fprintf(w, "revision %d is in force; apply with --number %d\n", d.Revision, d.Next)
}

func (s *shell) applyCommand() *cobra.Command {
	var number uint64
	var by string
	cmd := &cobra.Command{
		Use:   "apply FOLDER",
		Short: "Bring a folder into force everywhere",
		Long: `apply checks the folder, sends the files that differ from what is in force, and
returns once the change holds: it then never reverts.

Each change has a number, the revision in force plus one. Without --number the
next one is taken. Of two operators who apply with one number one wins, and the
other is told who won. After a lost answer apply sends the same change again;
running the same command again with the same number is harmless too.`,
		Example: "  poplarbend apply samples/adebayo/folder\n  poplarbend apply samples/adebayo/folder --number 12 --by amaka",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			folder, _, err := readFolder(args[0])
			if err != nil {
				return err
			}
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				return s.apply(ctx, c, folder, poplar.Revision(number), by)
			})
		},
	}
	cmd.Flags().Uint64Var(&number, "number", 0, "number of the change, 0 for the next one")
	cmd.Flags().StringVar(&by, "by", operator(), "your name, shown to those who lose a race")
	return cmd
}

// apply sends the change that brings folder into force. When nothing differs a
// change before did it already, this one's lost answer included.
func (s *shell) apply(ctx context.Context, c *Client, folder map[string][]byte, number poplar.Revision, by string) error {
	held, err := c.Files(ctx)
	if err != nil {
		return err
	}
	d, files := compare(held, folder)
	if number == 0 {
		number = d.Next
	}
	if len(files) == 0 {
		done := Applied{Number: held.Revision, By: held.By, Again: true}
		return s.print(done, func(w io.Writer) {
			fmt.Fprintf(w, "nothing to change: the folder is in force with revision %d\n", held.Revision)
		})
	}
	done, err := c.Change(ctx, Change{Number: number, By: by, Files: files})
	if err != nil {
		return fmt.Errorf("change %d: %w", number, err)
	}
	held, err = c.await(ctx, done.Number)
	return s.print(done, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d holds: %d files changed by %s\n", done.Number, len(files), done.By)
		if err != nil || held.Revision < done.Number {
			fmt.Fprintf(w, "it is not yet in force at %s; `poplarbend status` shows when it is\n", s.to)
		}
	})
}

// await returns the files in force once they are those of revision or a later
// one, or those that are in force after a bounded time. A change holds before
// the daemon that took it has it in force.
func (c *Client) await(ctx context.Context, revision poplar.Revision) (Files, error) {
	ctx, cancel := context.WithTimeout(ctx, forceTime)
	defer cancel()
	for {
		held, err := c.Files(ctx)
		if err != nil || held.Revision >= revision {
			return held, err
		}
		select {
		case <-ctx.Done():
			return held, nil
		case <-time.After(forcePoll):
		}
	}
}

func (s *shell) topupCommand() *cobra.Command {
	var id, by string
	cmd := &cobra.Command{
		Use:   "topup BUDGET TOKENS",
		Short: "Grant tokens to a budget",
		Long: `topup grants tokens on top of the declared grant of a budget; a negative number
takes some back. The id makes it idempotent: the same id grants once. Without
--id one is made and printed before it is sent.`,
		Example: "  poplarbend topup ikeja-main 500000 --id invoice-2291\n  poplarbend topup --id correction-7 -- ikeja-main -1000",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			tokens, err := strconv.ParseInt(args[1], 10, 64)
			if err != nil || tokens == 0 {
				return fmt.Errorf("TOKENS must be a whole number other than 0, got %q", args[1])
			}
			if id == "" {
				id = uuid.Must(uuid.NewV7()).String()
				fmt.Fprintf(cmd.ErrOrStderr(), "id: %s\n", id)
			}
			topup := Topup{ID: id, By: by, Budget: poplar.Budget(args[0]), Tokens: poplar.Tokens(tokens), At: madeAt(id)}
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error { return s.topup(ctx, c, topup) })
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the top-up; the same id grants once")
	cmd.Flags().StringVar(&by, "by", operator(), "your name")
	return cmd
}

// madeAt returns when an id was made: the time in a UUID of version 7, as in
// RFC 9562, section 5.7, else now.
func madeAt(id string) time.Time {
	if parsed, err := uuid.Parse(id); err == nil && parsed.Version() == 7 {
		return time.Unix(parsed.Time().UnixTime()).UTC()
	}
	return time.Now().UTC()
}

// topup sends a top-up.
func (s *shell) topup(ctx context.Context, c *Client, topup Topup) error {
	done, err := c.Topup(ctx, topup)
	if err != nil {
		return fmt.Errorf("top-up %s: %w", topup.ID, err)
	}
	return s.print(done, func(w io.Writer) {
		state := "granted"
		if done.Again {
			state = "granted before"
		}
		fmt.Fprintf(w, "%s: %s by %s; %s now has %d granted\n", topup.ID, state, topup.By, topup.Budget, done.Granted)
	})
}
