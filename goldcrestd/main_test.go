package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"goldcrestd": main})
}

// Guards against settings that are accepted although they can't be right, and
// against errors that don't name the flag, the variable and what is allowed.
func TestScripts(t *testing.T) {
	// A variable set on the machine would change the result of the scripts.
	for _, name := range os.Environ() {
		if len(name) > 11 && name[:11] == "GOLDCRESTD_" {
			t.Fatalf("unset %s to run this test", name)
		}
	}
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts"})
}
