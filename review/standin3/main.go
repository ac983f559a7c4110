// Command standin3 runs the cases of review/REPORT-3.md: daemons of the project in processes of their own beside small
// stand-ins for the platform, runners and requesters.
package main

import (
	"fmt"
	"os"
	"time"
)

// A case returns what broke the rule, empty if it held, and an error if it couldn't run.
var cases = map[string]func(c *cell, trouble bool) (string, error){
	"cancel-unknown": cancelUnknown,
	"replaced":       machinesReplaced,
	"odd-methods":    oddMethods,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxTime is within the 120 s that a case may take.
	maxTime = 115 * time.Second
)

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	c, err := newCell(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(maxTime, func() {
		c.say("result: not run: it took too long")
		c.close(false)
		os.Exit(exitNotRun)
	})
	c.say("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](c, trouble)
	code, result := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, result = exitNotRun, "not run: "+err.Error()
	case broken != "":
		code, result = exitBroken, "broken: "+broken
	}
	c.say("result: %s", result)
	c.close(os.Getenv("KEEP_LOGS") != "")
	fmt.Println(result)
	os.Exit(code)
}
