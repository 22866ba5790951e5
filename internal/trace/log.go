package trace

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"poplarbend.example/poplar"
)

// This file holds the logger.

// keyDaemon is the field that names the daemon in each line.
const keyDaemon = "daemon"

// New returns a logger that writes JSON lines to w, from level on: debug, info,
// warn or error. Every line names the daemon.
func New(w io.Writer, level string, daemon poplar.Daemon) (*log.Logger, error) {
	lowest, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := log.NewWithOptions(masker{out: w}, log.Options{
		Level:           lowest,
		Formatter:       log.JSONFormatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		TimeFunction:    log.NowUTC,
	})
	return logger.With(keyDaemon, string(daemon)), nil
}
