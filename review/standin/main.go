// Command rig plays one case of the review: it starts the daemons of this project as separate processes beside stand-ins
// of the platform, its runners and its requesters, and checks one rule by what these see.
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
	exitNotRun = 2
)

// caseFunc plays a case and returns how the rule was broken; nothing if it held.
type caseFunc func(e *env, trouble bool) (broken []string, err error)

var cases = map[string]struct {
	play    caseFunc
	regions bool
}{
	"region-cut":    {playRegionCut, true},
	"moved-queue":   {playMovedQueue, false},
	"lasting-gang":  {playLastingGang, false},
	"moved-pending": {playMovedPending, false},
	"open-queue":    {playOpenQueue, false},
	"repeated":      {playRepeated, false},
}

func main() { os.Exit(playCase(os.Args[1:])) }

func playCase(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DAEMON RECORD")
		return exitNotRun
	}
	c, ok := cases[args[0]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", args[0])
		return exitNotRun
	}
	e, err := newEnv(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	trouble := os.Getenv("TROUBLE") != "0"
	e.record.add("case %s, trouble: %t", args[0], trouble)
	time.AfterFunc(115*time.Second, func() {
		e.record.add("gave up: the case takes too long")
		for _, m := range e.machines {
			m.stop()
		}
		os.Exit(exitNotRun)
	})
	broken, err := c.play(e, trouble)
	switch {
	case err != nil:
		e.record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, b := range broken {
			e.record.add("BROKEN: %s", b)
			fmt.Println("BROKEN:", b)
		}
		return exitBroken
	}
	e.record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
