// Command rig plays one case of the review: it starts the daemons of this project as separate processes beside stand-ins
// of the platform, its runners and its requesters, and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration limits a case; the issue allows 120 s.
const maxDuration = 115 * time.Second

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
	"hopeless":      {playHopeless, false},
	"run-time":      {playRunTime, false},
	"renamed-queue": {playRenamedQueue, false},
	"moved-state":   {playMovedState, false},
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
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
			e.record.add("the case was stopped")
		case <-time.After(maxDuration):
			e.record.add("the case takes too long")
		}
		e.close()
		os.Exit(exitNotRun)
	}()
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
