// Command poplarbend runs and operates a router fleet for prepaid token
// budgets.
package main

import (
	"context"
	"net/http"
	"os"

	"github.com/charmbracelet/log"

	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/core"
	"poplarbend.example/poplar/internal/daemon"
	nodes "poplarbend.example/poplar/internal/node"
	"poplarbend.example/poplar/internal/oper"
	"poplarbend.example/poplar/platform"
)

func main() {
	os.Exit(oper.Main(context.Background(), serve, runNode, os.Args[1:], os.Stdout, os.Stderr))
}

// serve runs a daemon until it has drained. Its log goes to stdout.
func serve(ctx context.Context, settings *conf.Settings) error {
	return daemon.Run(ctx, settings, os.Stdout)
}

// runNode runs a router or a control daemon on the platform.
func runNode(ctx context.Context, file string) error {
	return nodes.Run(ctx, file, nodes.Parts{
		Dialect: platform.Dialect{},
		Read:    platform.ReadConfig,
		Control: func(c *core.Core, logger *log.Logger) http.Handler { return platform.NewControl(c, logger) },
	}, os.Stdout)
}
