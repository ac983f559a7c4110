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

// bubbleT runs a script in the goroutine of the caller, so that the script stays
// inside the synctest bubble and all its time is virtual.
type bubbleT struct{ *testing.T }

func (t bubbleT) Run(_ string, f func(testscript.T)) { f(t) }
func (t bubbleT) Parallel()                          {}
func (t bubbleT) Verbose() bool                      { return testing.Verbose() }

// Guards against honouring keys or accepting notes when that is not safe, and
// against refusing them when it is. The scripts cover the outages listed in the
// design documentation and the cases that earlier versions of the freshness rule
// decided wrongly.
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

// runScript runs one script against a new simulation. A "!" before note, keyed
// or open requires that the daemons refuse. The commands are:
//
//	start REGION DAEMON...          start daemons
//	pass DURATION                   let virtual time pass and check withdrawals
//	store down|loses|fails|up       set the fault of the table service: it is down,
//	                                it loses replies to commits, it goes down after
//	                                it has applied the next note, or no fault
//	forget                          drop the tombstones of the table service
//	cut A B, join A B               interrupt or restore the link between two groups
//	daemon kill|lose|leave|pause|resume DAEMON
//	                                kill and lose stop the daemon without notice;
//	                                lose also removes its VM from the VM list
//	note DAEMON [first | VERB KEY]  submit a note and require that it is accepted
//	keyed SECRET DAEMON...          require that daemons accept the key
//	open DAEMON...                  require that daemons accept work on the open
//	                                queue without a key
//	loaded VERSION DAEMON...        require that daemons have a version in force
func runScript(t *testing.T, file string) {
	sim := newSimulation(1, t.Fatalf)
	sim.watchWithdrawals()
	defer sim.close()
	testscript.RunT(bubbleT{t}, testscript.Params{Files: []string{file}, Cmds: map[string]func(*testscript.TestScript, bool, []string){
		"start": func(ts *testscript.TestScript, _ bool, args []string) {
			for _, name := range args[1:] {
				sim.start(name, args[0])
			}
		},
		"pass": func(ts *testscript.TestScript, _ bool, args []string) {
			d, err := time.ParseDuration(args[0])
			ts.Check(err)
			sim.advance(d)
		},
		"store": func(_ *testscript.TestScript, _ bool, args []string) {
			sim.table.update(func(t *fakeTable) {
				t.down, t.loseReplies, t.failAfterNote = args[0] == "down", args[0] == "loses", args[0] == "fails"
			})
		},
		"forget": func(*testscript.TestScript, bool, []string) {
			sim.table.update(func(t *fakeTable) { t.tombstoneHorizon = t.version })
		},
		"cut":  func(_ *testscript.TestScript, _ bool, args []string) { sim.setUnreachable(args[0], args[1], true) },
		"join": func(_ *testscript.TestScript, _ bool, args []string) { sim.setUnreachable(args[0], args[1], false) },
		"daemon": func(ts *testscript.TestScript, _ bool, args []string) {
			d := sim.daemons[args[1]]
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
		"note": func(ts *testscript.TestScript, neg bool, args []string) { sim.submitNote(ts, neg, args) },
		"keyed": func(ts *testscript.TestScript, neg bool, args []string) {
			sim.expectAuthorized(ts, neg, "tills", args[0], args[1:])
		},
		"open": func(ts *testscript.TestScript, neg bool, args []string) {
			sim.expectAuthorized(ts, neg, "prices", "", args)
		},
		"loaded": func(ts *testscript.TestScript, _ bool, args []string) { sim.expectVersion(ts, args) },
	}})
}

// submitNote implements the note command: it requires that the daemon accepts
// the note, or with neg that it does not.
func (sim *simulation) submitNote(ts *testscript.TestScript, neg bool, args []string) {
	text := firstNote
	if len(args) == 3 {
		text = keyNote(args[1], args[2])
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	sim.submittedNotes++
	result, err := sim.daemons[args[0]].submitNote(ctx, "note-"+strconv.Itoa(sim.submittedNotes), text)
	ts.Logf("%s: note %s: %+v, %v", args[0], strings.Join(args[1:], " "), result.Version, err)
	if (err != nil) != neg {
		ts.Fatalf("note %v: %v", args, err)
	}
}

// expectAuthorized requires that daemons accept work on a queue with the given
// secret, or with neg that they refuse it.
func (sim *simulation) expectAuthorized(ts *testscript.TestScript, neg bool, queue, secret string, daemons []string) {
	for _, name := range daemons {
		_, err := sim.daemons[name].rollout.Authorize(secret, cluster.QueueName(queue))
		if (err != nil) != neg {
			ts.Fatalf("%s: queue %s: %v; %+v", name, queue, err, sim.daemons[name].rollout.Status())
		}
	}
}

// expectVersion implements the loaded command.
func (sim *simulation) expectVersion(ts *testscript.TestScript, args []string) {
	for _, name := range args[1:] {
		if got := strconv.Itoa(int(sim.daemons[name].rollout.Status().Version)); got != args[0] {
			ts.Fatalf("%s: version %s is in force instead of %s", name, got, args[0])
		}
	}
}
