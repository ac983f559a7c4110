// Command rig2 runs the scripts of the second review against the daemons of this checkout.
package main

import (
	"fmt"
	"os"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(*cell) (int, error){
	"withdrawn": withdrawn,
	"pending":   pending,
	"otherkind": otherKind,
	"repeated":  repeated,
	"lasting":   lasting,
	"starved":   starved,
	"capped":    capped,
	"regions":   regions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage, in the repository: rig2 CASE FOLDER")
		os.Exit(failed)
	}
	c, err := newCell(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	result, err := cases[os.Args[1]](c)
	if err != nil {
		c.rec.add("the case could not run: %v", err)
		result = failed
	}
	c.rec.add("result %d (0 held, 1 broken, 2 not run)", result)
	c.close()
	os.Exit(result)
}
