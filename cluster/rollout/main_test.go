package rollout

import (
	"flag"
	"os"
	"runtime"
	"testing"

	"go.uber.org/goleak"
)

// explicitFlags holds the names of the flags that are set on the command line.
var explicitFlags = map[string]bool{}

// TestMain sets a fixed seed and number of random runs unless flags set them.
// For a long run with random seeds use -rapid.checks=100000 -rapid.seed=0.
func TestMain(m *testing.M) {
	// Virtual time needs no parallelism, and the race detector of Go 1.26 crashes
	// the process when long synctest bubbles run on several processors.
	runtime.GOMAXPROCS(1)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { explicitFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "4000", "rapid.nofailfile": "true"} {
		if !explicitFlags[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	if err := goleak.Find(); err != nil {
		panic(err)
	}
}
