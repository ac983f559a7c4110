package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/loopback"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"goldcrestctl": main})
}

// Guards against commands that send a wrong request, print a wrong result or exit
// with a wrong code; each script names the failures that it guards against. The
// scripts run against a fake daemon. Its responses are the files
// answers/METHOD_path of a script, with the status in the first line and the body
// in the others; each request is appended to the file calls.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts",
		Setup: func(env *testscript.Env) error {
			daemon := httptest.NewServer(&fakeDaemon{dir: env.WorkDir})
			env.Defer(daemon.Close)
			broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
			env.Defer(broken.Close)
			closed, err := loopback.Reserve(1)
			if err != nil {
				return err
			}
			env.Defer(func() { _ = closed.Close() })
			env.Setenv("GOLDCRESTCTL_SERVER", daemon.URL)
			env.Setenv("DAEMON", daemon.URL)
			env.Setenv("BROKEN", broken.URL)
			env.Setenv("CLOSED", "http://"+closed.Addrs[0].String())
			env.Setenv("USER", "ruth")
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){"exitcode": exitCode},
	})
}

// exitCode implements the script command exitcode, which runs a command and checks
// its exit code: exitcode 1 goldcrestctl apply note.yaml.
func exitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode code command [args...]")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var code int
		if _, scanErr := fmt.Sscanf(err.Error(), "exit status %d", &code); scanErr != nil {
			ts.Fatalf("%v", err)
		}
		got = code
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// fakeDaemon serves the files in the working directory of a script.
type fakeDaemon struct{ dir string }

// ServeHTTP sends the response in the script's file for the request.
func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = d.recordCall(r, body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	name := r.Method + strings.ReplaceAll(r.URL.Path, "/", "_")
	data, err := os.ReadFile(filepath.Join(d.dir, "answers", name))
	if err != nil {
		http.Error(w, "no file "+name, http.StatusNotFound)
		return
	}
	statusLine, responseBody, _ := strings.Cut(string(data), "\n")
	status, err := strconv.Atoi(statusLine)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if status >= http.StatusBadRequest {
		w.Header().Set("Content-Type", api.ContentTypeProblem)
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, responseBody)
}

// recordCall appends a request to the file calls.
func (d *fakeDaemon) recordCall(r *http.Request, body []byte) error {
	f, err := os.OpenFile(filepath.Join(d.dir, "calls"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	fmt.Fprintf(f, "%s %s\n", r.Method, r.URL.RequestURI())
	for _, name := range []string{"Authorization", api.HeaderNoteID, api.HeaderAuthor, api.HeaderIdempotencyKey, "X-Till"} {
		if v := r.Header.Get(name); v != "" {
			fmt.Fprintf(f, "%s: %s\n", name, v)
		}
	}
	fmt.Fprintf(f, "%s\n", body)
	return f.Close()
}
