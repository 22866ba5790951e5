// Command demo sets up a small fleet on loopback addresses, runs the main job
// on it and checks every step. It ends with 0 only if all of them held.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"poplarbend.example/poplar/internal/conf"
	"poplarbend.example/poplar/internal/daemon"
	"poplarbend.example/poplar/internal/demo"
)

func main() { os.Exit(start()) }

func start() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := demo.Run(ctx, assemble, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	return 0
}

// assemble makes a daemon in this process.
func assemble(settings *conf.Settings, out io.Writer) (demo.Daemon, error) {
	return daemon.New(settings, out)
}
