// Command measure runs one measurement by name and prints one JSON line for
// each figure. It exits with 1 when a target is missed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"poplarbend.example/poplar/internal/meter"
)

func main() { os.Exit(start()) }

func start() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cobra.Command{
		Use:           "measure NAME | list",
		Short:         "Measure one matter of the fleet with fixed seeds",
		Example:       "  measure list\n  measure decide",
		Args:          cobra.ExactArgs(1),
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(cmd *cobra.Command, args []string) error {
			return run(cmd, args[0])
		},
	}
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return 1
	}
	return 0
}

func run(cmd *cobra.Command, name string) error {
	if name == "list" {
		for _, n := range meter.Names() {
			fmt.Fprintln(cmd.OutOrStdout(), n)
		}
		return nil
	}
	return meter.Run(cmd.Context(), name, meter.NewSheet(cmd.OutOrStdout()))
}
