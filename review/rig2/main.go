// Command rig2 plays the cases 6 to 10 of the review: it starts the programs of the
// deploy file as processes on loopback addresses, stands in for clients, engines, the
// operator and the platform, and checks one rule from what these see.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestPlay is when a play is given up.
const longestPlay = 112 * time.Second

// play is one run of a case. The result is what broke the rule, or "".
type play func(r *rig) (broken string, err error)

var plays = map[string]play{
	"found":   playFound,
	"leave":   playLeave,
	"restore": playRestore,
	"whole":   playWhole,
	"poison":  playPoison,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || plays[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		return exitNotRun
	}
	r, err := newRig(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		return exitNotRun
	}
	defer r.close()
	watchdog := time.AfterFunc(longestPlay, r.expire)
	defer watchdog.Stop()
	broken, err := plays[args[0]](r)
	switch {
	case r.expired.Load():
		err = errors.New("the play took too long")
		fallthrough
	case err != nil:
		r.note("not run: %v", err)
		return exitNotRun
	case broken != "":
		r.note("rule broken: %s", broken)
		return exitBroken
	}
	r.note("rule held")
	return exitHeld
}
