package rollout

import (
	"context"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// inBubble runs a script in the goroutine of its caller, so that all its time is virtual.
type inBubble struct{ *testing.T }

func (t inBubble) Run(_ string, f func(testscript.T)) { f(t) }
func (t inBubble) Parallel()                          {}
func (t inBubble) Verbose() bool                      { return testing.Verbose() }

// The scripts are the rows of the table of outages of the design page and the
// cases that an earlier form of the rule got wrong.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/scripts/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScript(t, file) })
		})
	}
}

func runScript(t *testing.T, file string) {
	w := newWorld(1, t.Fatalf)
	w.watchWithdrawals()
	defer w.close()
	testscript.RunT(inBubble{t}, testscript.Params{Files: []string{file}, Cmds: map[string]func(*testscript.TestScript, bool, []string){
		"start": func(ts *testscript.TestScript, _ bool, args []string) {
			for _, name := range args[1:] {
				w.start(name, args[0])
			}
		},
		"pass": func(ts *testscript.TestScript, _ bool, args []string) {
			d, err := time.ParseDuration(args[0])
			ts.Check(err)
			w.pass(d)
		},
		"store": func(_ *testscript.TestScript, _ bool, args []string) {
			w.table.set(func(t *table) {
				t.down, t.loseAnswers, t.loseLast = args[0] == "down", args[0] == "loses", args[0] == "fails"
			})
		},
		"forget": func(*testscript.TestScript, bool, []string) { w.table.set(func(t *table) { t.horizon = t.version }) },
		"cut":    func(_ *testscript.TestScript, _ bool, args []string) { w.setCut(args[0], args[1], true) },
		"join":   func(_ *testscript.TestScript, _ bool, args []string) { w.setCut(args[0], args[1], false) },
		"daemon": func(ts *testscript.TestScript, _ bool, args []string) {
			d := w.daemon[args[1]]
			switch args[0] {
			case "kill":
				d.kill(true)
			case "lose":
				d.kill(false)
			case "leave":
				d.leave()
			case "pause":
				d.pause()
			case "resume":
				d.resume()
			default:
				ts.Fatalf("unknown: %s", args[0])
			}
		},
		"note": func(ts *testscript.TestScript, neg bool, args []string) { w.note(ts, neg, args) },
		"keyed": func(ts *testscript.TestScript, neg bool, args []string) {
			w.expect(ts, neg, "tills", args[0], args[1:])
		},
		"open":   func(ts *testscript.TestScript, neg bool, args []string) { w.expect(ts, neg, "prices", "", args) },
		"loaded": func(ts *testscript.TestScript, _ bool, args []string) { w.expectVersion(ts, args) },
	}})
}

// note hands in a note: note DAEMON [first | VERB KEY].
func (w *world) note(ts *testscript.TestScript, neg bool, args []string) {
	text := firstNote
	if len(args) == 3 {
		text = keyNote(args[1], args[2])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	w.notes++
	result, err := w.daemon[args[0]].apply(ctx, "note-"+strconv.Itoa(w.notes), text)
	ts.Logf("%s: note %s: %+v, %v", args[0], strings.Join(args[1:], " "), result.Version, err)
	if (err != nil) != neg {
		ts.Fatalf("note %v: %v", args, err)
	}
}

// expect requires daemons to accept work on a queue, or with neg to refuse it.
func (w *world) expect(ts *testscript.TestScript, neg bool, queue, secret string, daemons []string) {
	for _, name := range daemons {
		_, err := w.daemon[name].rollout.Authorize(secret, cluster.QueueName(queue))
		if (err != nil) != neg {
			ts.Fatalf("%s: queue %s: %v; %+v", name, queue, err, w.daemon[name].rollout.Status())
		}
	}
}

func (w *world) expectVersion(ts *testscript.TestScript, args []string) {
	for _, name := range args[1:] {
		if got := strconv.Itoa(int(w.daemon[name].rollout.Status().Version)); got != args[0] {
			ts.Fatalf("%s: note %s instead of %s is in force", name, got, args[0])
		}
	}
}
