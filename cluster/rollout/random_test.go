package rollout

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
)

// simulationChecks is the default number of random runs of TestCellUnderTwoFaults,
// which take longer than those of the freshness state machine.
const simulationChecks = "25"

// noDeadline hides the deadline of a test from rapid, because the deadline is
// not in virtual time.
type noDeadline struct{ rapid.TB }

// noteSubmitter submits notes like operators do and records which were accepted.
type noteSubmitter struct {
	sim *simulation
	wg  sync.WaitGroup

	mu sync.Mutex
	// accepted holds the identifiers of accepted notes by version.
	accepted map[cluster.Version]string
	// duplicates describes notes that were accepted with the same version.
	duplicates []string
}

// submit submits a note in the background and records its version if it is accepted.
func (submitter *noteSubmitter) submit(d *daemon, id, text string) {
	submitter.wg.Add(1)
	go func() {
		defer submitter.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		result, err := d.submitNote(ctx, id, text)
		if err != nil {
			return
		}
		submitter.mu.Lock()
		defer submitter.mu.Unlock()
		if other, ok := submitter.accepted[result.Version]; ok {
			submitter.duplicates = append(submitter.duplicates, fmt.Sprintf("notes %s and %s were both accepted as version %d", other, id, result.Version))
		}
		submitter.accepted[result.Version] = id
	}()
}

// drawFault injects a random fault and returns a function that ends it.
func drawFault(t *rapid.T, sim *simulation, names []string) func() {
	name := rapid.SampledFrom(names).Draw(t, "daemon")
	d := sim.daemons[name]
	switch fault := rapid.SampledFrom([]string{"store", "loses", "fails", "region", "isolate", "pause", "nostore", "kill", "leave"}).Draw(t, "fault"); fault {
	case "store", "loses", "fails":
		sim.table.update(func(t *fakeTable) {
			t.down, t.loseReplies, t.failAfterNote = fault == "store", fault == "loses", fault == "fails"
		})
		return func() {
			sim.table.update(func(t *fakeTable) { t.down, t.loseReplies, t.failAfterNote = false, false, false })
		}
	case "region":
		sim.setUnreachable("north", "south", true)
		return func() { sim.setUnreachable("north", "south", false) }
	case "isolate":
		sim.setUnreachable(name, "north", true)
		sim.setUnreachable(name, "south", true)
		return func() { sim.setUnreachable(name, "north", false); sim.setUnreachable(name, "south", false) }
	case "nostore":
		sim.setUnreachable(name, "store", true)
		return func() { sim.setUnreachable(name, "store", false) }
	case "pause":
		d.pause()
		return d.resume
	case "kill":
		d.kill(false)
	case "leave":
		if !d.isStopped() && !d.isPaused() {
			d.leave()
		}
	}
	return func() {}
}

// Guards against the following failures with two faults at a time: a withdrawn
// key is honoured for more than 7 s, the head reverts, an accepted note is lost
// or the cell does not recover.
func TestCellUnderTwoFaults(t *testing.T) {
	setFlagDefault(t, "rapid.checks", simulationChecks)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			sim := newSimulation(rapid.Uint64().Draw(t, "seed"), t.Fatalf)
			sim.watchWithdrawals()
			defer sim.close()
			runSimulation(t, sim)
		})
	})
}

// runSimulation submits notes in rounds with two faults each.
func runSimulation(t *rapid.T, sim *simulation) {
	daemonNames := []string{"a", "b", "c", "d", "e"}
	for i, name := range daemonNames {
		sim.start(name, []string{storeRegion, "south"}[i%2])
	}
	sim.advance(5 * time.Second)
	submitter := &noteSubmitter{sim: sim, accepted: map[cluster.Version]string{}}
	submitter.submit(sim.daemons["a"], "first", firstNote)
	sim.advance(3 * time.Second)
	keyCount := 0
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		var endFaults []func()
		for range 2 {
			endFaults = append(endFaults, drawFault(t, sim, daemonNames))
			sim.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "between")) * time.Millisecond)
		}
		for range rapid.IntRange(1, 3).Draw(t, "notes") {
			d := sim.daemons[rapid.SampledFrom(daemonNames).Draw(t, "acceptor")]
			if d.isStopped() || d.isPaused() {
				continue
			}
			keyCount++
			submitter.submit(d, fmt.Sprint("add-", keyCount), keyNote("add", fmt.Sprint("k", keyCount)))
			if withdrawn := rapid.IntRange(1, keyCount).Draw(t, "victim"); withdrawn < keyCount {
				submitter.submit(d, fmt.Sprint("withdraw-", keyCount), keyNote("withdraw", fmt.Sprint("k", withdrawn)))
			}
		}
		sim.advance(time.Duration(rapid.IntRange(0, 15000).Draw(t, "length")) * time.Millisecond)
		if rapid.Bool().Draw(t, "newcomer") {
			name := fmt.Sprintf("n%d", len(daemonNames))
			daemonNames = append(daemonNames, name)
			sim.start(name, rapid.SampledFrom([]string{storeRegion, "south"}).Draw(t, "region"))
		}
		for _, endFault := range endFaults {
			endFault()
		}
		sim.advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "calm")) * time.Millisecond)
	}
	submitter.wg.Wait()
	sim.advance(20 * time.Second)
	sim.checkRecovered(submitter)
}

// checkRecovered fails the test unless every running daemon has the last note
// in force and every accepted note is in the store.
func (sim *simulation) checkRecovered(submitter *noteSubmitter) {
	for _, duplicate := range submitter.duplicates {
		sim.fatal("%s", duplicate)
	}
	for version, id := range submitter.accepted {
		row, ok := sim.table.rows[fmt.Sprintf("config/request/%s", id)]
		if !ok {
			sim.fatal("note %d (%s) was accepted but is not in the store: %v", version, id, row)
		}
	}
	head, _ := note.DecodeHead(sim.table.rows[note.HeadKey])
	headVersion := head.Version
	for name, d := range sim.daemons {
		if s := d.rollout.Status(); !d.isStopped() && (s.Version != headVersion || !s.Fresh) {
			sim.fatal("%s has not recovered: head %d, %+v", name, headVersion, s)
		}
	}
}

// setFlagDefault sets a flag for the duration of a test unless it is set on the
// command line.
func setFlagDefault(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	old := f.Value.String()
	if explicitFlags[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// Guards against rows of replaced daemons that are never deleted: 70
// replacements a day, some after a crash, must not make the table grow.
func TestReplacedDaemonsLeaveNoRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(7, t.Fatalf)
		defer sim.close()
		sim.start("keeper", storeRegion)
		sim.advance(15 * time.Second)
		_, err := sim.daemons["keeper"].submitNote(context.Background(), "first", firstNote)
		is.NoErr(err)
		for i := range 70 {
			name := fmt.Sprintf("r%02d", i)
			d := sim.start(name, []string{storeRegion, "south"}[i%2])
			sim.advance(12 * time.Second)
			if i%5 == 0 {
				_, err := d.submitNote(context.Background(), name, keyNote("add", name))
				is.NoErr(err)
			}
			if i%3 == 0 {
				d.kill(false)
			} else {
				d.leave()
			}
			sim.advance(40 * time.Second)
		}
		sim.advance(2 * time.Minute)
		var remaining []string
		for key, row := range sim.table.rows {
			if !row.Deleted && (strings.HasPrefix(key, member.Prefix) || strings.HasPrefix(key, "txn/")) {
				remaining = append(remaining, key)
			}
		}
		is.Equal(len(remaining), 2) // the member row and the writer row of the keeper
		keeper := sim.daemons["keeper"]
		is.Equal(len(keeper.members.Members()), 1)
		is.Equal(len(keeper.rollout.freshness.peers), 0)
		is.Equal(len(keeper.rollout.propagation.ackedVersions), 0)
	})
}

// Guards against two member rows for one address: a process that replaces a
// crashed one on the same VM must delete its row, also if the reply to the
// commit is lost.
func TestRestartReplacesEarlierRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sim := newSimulation(7, t.Fatalf)
		defer sim.close()
		a, b := sim.start("a", storeRegion), sim.start("b", storeRegion)
		sim.advance(5 * time.Second)
		a.kill(true)
		sim.table.update(func(t *fakeTable) { t.loseReplies = true })
		next := member.New(member.Config{
			Self: member.Member{ID: "a2", PeerAddr: a.addr}, Store: &storeClient{fakeTable: sim.table, latency: func() (time.Duration, bool) { return nearLatency, true }},
		})
		is.NoErr(next.Join(context.Background()))
		is.True(next.Check().Version > 0)
		sim.table.update(func(t *fakeTable) { t.loseReplies = false })
		sim.advance(5 * time.Second)
		var ids []string
		for _, m := range b.members.Members() {
			ids = append(ids, string(m.ID))
		}
		is.Equal(ids, []string{"a2", "b"})
	})
}
