package oper

import (
	"context"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"poplarbend.example/poplar"
)

// This file holds the forced takeover of a ledger that is lost.

// forceRoute is where a forced takeover is asked for.
const forceRoute = "/v1/force"

// Force starts an empty ledger for a domain whose holders have lost their
// disks. All that the domain holds unspent counts as spent until a disk of the
// lost ledger returns and proves otherwise.
type Force struct {
	Domain  poplar.Domain `json:"domain"`
	Primary poplar.Daemon `json:"primary"`
	// Epoch is the epoch in force, so that a resend does not force twice.
	Epoch poplar.Epoch `json:"epoch"`
}

// Forced is the answer to a forced takeover that holds.
type Forced struct {
	Domain  poplar.Domain `json:"domain"`
	Primary poplar.Daemon `json:"primary"`
	Epoch   poplar.Epoch  `json:"epoch"`
	// Again is true when an earlier call had the effect.
	Again bool `json:"again,omitempty"`
}

func (s *server) force(ctx context.Context, force Force) (Forced, error) {
	if err := checkName("domain", string(force.Domain)); err != nil {
		return Forced{}, err
	}
	if err := checkName("primary", string(force.Primary)); err != nil {
		return Forced{}, err
	}
	return s.fleet.Force(ctx, force)
}

// Force starts an empty ledger for a domain.
func (c *Client) Force(ctx context.Context, force Force) (Forced, error) {
	return resend[Forced](ctx, c, forceRoute, force)
}

func (s *shell) forceCommand() *cobra.Command {
	var epoch uint64
	cmd := &cobra.Command{
		Use:   "force DOMAIN PRIMARY",
		Short: "Start an empty ledger for a domain that has lost its own",
		Long: `force names PRIMARY the holder of a new, empty ledger of DOMAIN. Use it only
when both holders have lost their disks for good. What the domain held unspent
counts as spent until a lost disk returns, requests that were open stay unknown,
and for one record window a request that may not be repeated is refused when its
key may be older. --epoch is the epoch that status shows for the domain.`,
		Example: "  poplarbend force yaba yaba-3 --epoch 7",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			force := Force{Domain: poplar.Domain(args[0]), Primary: poplar.Daemon(args[1]), Epoch: poplar.Epoch(epoch)}
			return s.run(cmd.Context(), func(ctx context.Context, c *Client) error {
				forced, err := c.Force(ctx, force)
				if err != nil {
					return err
				}
				return s.print(forced, func(w io.Writer) {
					fmt.Fprintf(w, "%s holds an empty ledger of %s in epoch %d\n", forced.Primary, forced.Domain, forced.Epoch)
				})
			})
		},
	}
	cmd.Flags().Uint64Var(&epoch, "epoch", 0, "epoch in force, as status shows it")
	if err := cmd.MarkFlagRequired("epoch"); err != nil {
		cmd.PreRunE = func(*cobra.Command, []string) error { return err }
	}
	return cmd
}
