package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"goldcrestd": main})
}

// Guards against invalid settings that are accepted, and against errors that
// don't name the flag, the environment variable and the allowed values.
func TestScripts(t *testing.T) {
	// A variable set in the environment would change the results of the scripts.
	for _, variable := range os.Environ() {
		if len(variable) > 11 && variable[:11] == "GOLDCRESTD_" {
			t.Fatalf("unset %s to run this test", variable)
		}
	}
	testscript.Run(t, testscript.Params{Dir: "testdata/scripts"})
}
