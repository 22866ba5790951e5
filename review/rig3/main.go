// Command rig3 plays the cases of the third review. It starts the project's own programs as
// separate processes on loopback addresses, with stand-ins for the platform, the engines and
// the clients.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not be played
)

// play is one case. It reports whether the rule was broken.
type play func(r *rig) (broken bool, err error)

var plays = map[string]play{
	"forget": playForget,
	"poison": playPoison,
	"memory": playMemory,
	"claims": playClaims,
}

func main() { os.Exit(start()) }

// start plays the case that the first argument names, and writes what happens to the file that
// the second names. The environment variable TROUBLE=0 leaves the disruption out.
func start() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return exitFailed
	}
	r, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitFailed
	}
	defer r.close()
	broken, err := plays[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("the case could not be played: %v", err)
		return exitFailed
	case broken:
		r.note("RULE BROKEN")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

// await polls ok until it is true or the time is over.
func await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %s", what, limit)
		}
	}
	return nil
}
