package oper

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// This file holds the command that gathers the lines of one request out of many
// logs.

// traced is a line of a log.
type traced struct {
	head lineHead
	text string
}

// lineHead is what every line tells.
type lineHead struct {
	Time   string // invariant: RFC 3339, so that the order of text is that of time
	Daemon string
	Msg    string
}

// byTime orders lines.
func byTime(a, b traced) int { return strings.Compare(a.head.Time, b.head.Time) }

// beliefs are the messages that tell what a process believes, not what a request
// met. They are shown around the request, from its process.
var beliefs = []string{
	"start", "stop", "reload", "signal", "revision", "control lost", "control regained", "draws fail", "draws succeed",
	"admission",
	"tokens given back", "tokens handed over", "tokens received",
}

// mostLine bounds a line of a log, in bytes.
const mostLine = 1 << 20

var errNoLines = errors.New("no line names this id; the logs may not cover the request, or lines were dropped (lines_dropped in the metrics)")

func (s *shell) traceCommand() *cobra.Command {
	around := 5
	cmd := &cobra.Command{
		Use:   "trace ID [LOG...]",
		Short: "Gather one request's lines out of logs",
		Long: `trace reads logs of any number of processes, or standard input, and prints in
the order of time all lines that name the request's id, and the last lines before
it that tell what its router believed.`,
		Example: "  poplarbend trace 81594eb42421d85b logs/*.jsonl",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := gather(args[0], args[1:], cmd.InOrStdin(), around)
			if err != nil {
				return err
			}
			for _, l := range lines {
				fmt.Fprintln(s.out, l.text)
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&around, "around", around, "lines on the router's beliefs before the request")
	return cmd
}

// gather returns the lines of the request with the id, and what its routers
// believed before.
func gather(id string, files []string, in io.Reader, around int) ([]traced, error) {
	all, err := readLogs(files, in)
	if err != nil {
		return nil, err
	}
	var own, before []traced
	last := map[string]string{} // the time of the latest own line, by daemon
	for _, l := range all {
		if !strings.Contains(l.text, id) {
			continue
		}
		own = append(own, l)
		last[l.head.Daemon] = max(last[l.head.Daemon], l.head.Time)
	}
	if len(own) == 0 {
		return nil, errNoLines
	}
	for daemon, until := range last {
		before = append(before, beliefsOf(all, daemon, until, around)...)
	}
	lines := slices.Concat(own, before)
	slices.SortStableFunc(lines, byTime)
	return lines, nil
}

// beliefsOf returns the last few beliefs of a daemon up to a time.
func beliefsOf(all []traced, daemon, until string, around int) []traced {
	var list []traced
	for _, l := range all {
		if l.head.Time <= until && l.head.Daemon == daemon && slices.Contains(beliefs, l.head.Msg) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, byTime)
	return list[max(0, len(list)-around):]
}

// readLogs reads all lines that are JSON. What stands before the first brace of
// a line is left out, since collectors put their own time there.
func readLogs(files []string, in io.Reader) ([]traced, error) {
	if len(files) == 0 {
		return readLog(in, nil)
	}
	var all []traced
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read a log: %w", err)
		}
		all, err = readLog(file, all)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", name, err)
		}
	}
	return all, nil
}

func readLog(in io.Reader, all []traced) ([]traced, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		_, rest, found := strings.Cut(lines.Text(), "{")
		text := "{" + rest
		var head lineHead
		if !found || json.Unmarshal([]byte(text), &head) != nil || head.Time == "" {
			continue
		}
		all = append(all, traced{head: head, text: text})
	}
	return all, lines.Err()
}
