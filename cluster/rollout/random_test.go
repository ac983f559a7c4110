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

// worldChecks is the number of random runs of whole cells, which take longer than those of the state machine.
const worldChecks = "25"

// noDeadline hides the deadline of a test, which is not virtual time.
type noDeadline struct{ rapid.TB }

// operators hand in notes and remember what was accepted.
type operators struct {
	w  *world
	wg sync.WaitGroup

	mu       sync.Mutex
	accepted map[cluster.Version]string
	problems []string
}

// apply hands in a note in the background; its key has the note's identifier as name and secret.
func (o *operators) apply(d *daemon, id, text string) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		result, err := d.apply(ctx, id, text)
		if err != nil {
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if other, ok := o.accepted[result.Version]; ok {
			o.problems = append(o.problems, fmt.Sprintf("%s and %s were both accepted as note %d", other, id, result.Version))
		}
		o.accepted[result.Version] = id
	}()
}

// faults draws a fault and returns what ends it.
func drawFault(t *rapid.T, w *world, names []string) func() {
	name := rapid.SampledFrom(names).Draw(t, "daemon")
	d := w.daemon[name]
	switch fault := rapid.SampledFrom([]string{"store", "loses", "fails", "region", "isolate", "pause", "nostore", "kill", "leave"}).Draw(t, "fault"); fault {
	case "store", "loses", "fails":
		w.table.set(func(t *table) {
			t.down, t.loseAnswers, t.loseLast = fault == "store", fault == "loses", fault == "fails"
		})
		return func() { w.table.set(func(t *table) { t.down, t.loseAnswers, t.loseLast = false, false, false }) }
	case "region":
		w.setCut("north", "south", true)
		return func() { w.setCut("north", "south", false) }
	case "isolate":
		w.setCut(name, "north", true)
		w.setCut(name, "south", true)
		return func() { w.setCut(name, "north", false); w.setCut(name, "south", false) }
	case "nostore":
		w.setCut(name, "store", true)
		return func() { w.setCut(name, "store", false) }
	case "pause":
		d.pause()
		return d.resume
	case "kill":
		d.kill(false)
	case "leave":
		if !d.isEnded() && !d.isPaused() {
			d.leave()
		}
	}
	return func() {}
}

// Guards against a withdrawn key that is honoured for more than 7 s, a head
// that reverts, an accepted note that is lost and a cell that does not recover,
// with two faults at a time.
func TestCellUnderTwoFaults(t *testing.T) {
	setUnlessGiven(t, "rapid.checks", worldChecks)
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			w := newWorld(rapid.Uint64().Draw(t, "seed"), t.Fatalf)
			w.watchWithdrawals()
			defer w.close()
			runCell(t, w)
		})
	})
}

func runCell(t *rapid.T, w *world) {
	names := []string{"a", "b", "c", "d", "e"}
	for i, name := range names {
		w.start(name, []string{storeRegion, "south"}[i%2])
	}
	w.pass(5 * time.Second)
	o := &operators{w: w, accepted: map[cluster.Version]string{}}
	o.apply(w.daemon["a"], "first", firstNote)
	w.pass(3 * time.Second)
	keys := 0
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		var ends []func()
		for range 2 {
			ends = append(ends, drawFault(t, w, names))
			w.pass(time.Duration(rapid.IntRange(0, 3000).Draw(t, "between")) * time.Millisecond)
		}
		for range rapid.IntRange(1, 3).Draw(t, "notes") {
			d := w.daemon[rapid.SampledFrom(names).Draw(t, "acceptor")]
			if d.isEnded() || d.isPaused() {
				continue
			}
			keys++
			o.apply(d, fmt.Sprint("add-", keys), keyNote("add", fmt.Sprint("k", keys)))
			if victim := rapid.IntRange(1, keys).Draw(t, "victim"); victim < keys {
				o.apply(d, fmt.Sprint("withdraw-", keys), keyNote("withdraw", fmt.Sprint("k", victim)))
			}
		}
		w.pass(time.Duration(rapid.IntRange(0, 15000).Draw(t, "length")) * time.Millisecond)
		if rapid.Bool().Draw(t, "newcomer") {
			name := fmt.Sprintf("n%d", len(names))
			names = append(names, name)
			w.start(name, rapid.SampledFrom([]string{storeRegion, "south"}).Draw(t, "region"))
		}
		for _, end := range ends {
			end()
		}
		w.pass(time.Duration(rapid.IntRange(0, 5000).Draw(t, "calm")) * time.Millisecond)
	}
	o.wg.Wait()
	w.pass(20 * time.Second)
	w.checkRecovered(o)
}

// checkRecovered requires that every running daemon has the last note in force
// and that every accepted note is in the history.
func (w *world) checkRecovered(o *operators) {
	for _, problem := range o.problems {
		w.fatal("%s", problem)
	}
	for version, id := range o.accepted {
		row, ok := w.table.rows[fmt.Sprintf("config/request/%s", id)]
		if !ok {
			w.fatal("note %d (%s) was accepted and is not in the store: %v", version, id, row)
		}
	}
	last, _ := note.DecodeHead(w.table.rows[note.HeadKey])
	head := last.Version
	for name, d := range w.daemon {
		if s := d.rollout.Status(); !d.isEnded() && (s.Version != head || !s.Fresh) {
			w.fatal("%s has not recovered: head %d, %+v", name, head, s)
		}
	}
}

func setUnlessGiven(t *testing.T, name, value string) {
	f := flag.Lookup(name)
	old := f.Value.String()
	if given[name] {
		return
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, old) })
}

// Guards against rows of replaced daemons that are left behind: 70 replacements
// a day, some without a word, must not make the table grow.
func TestReplacementsLeaveNoRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(7, t.Fatalf)
		defer w.close()
		w.start("keeper", storeRegion)
		w.pass(15 * time.Second)
		_, err := w.daemon["keeper"].apply(context.Background(), "first", firstNote)
		is.NoErr(err)
		for i := range 70 {
			name := fmt.Sprintf("r%02d", i)
			d := w.start(name, []string{storeRegion, "south"}[i%2])
			w.pass(12 * time.Second)
			if i%5 == 0 {
				_, err := d.apply(context.Background(), name, keyNote("add", name))
				is.NoErr(err)
			}
			if i%3 == 0 {
				d.kill(false)
			} else {
				d.leave()
			}
			w.pass(40 * time.Second)
		}
		w.pass(2 * time.Minute)
		var left []string
		for key, row := range w.table.rows {
			if !row.Deleted && (strings.HasPrefix(key, member.Prefix) || strings.HasPrefix(key, "txn/")) {
				left = append(left, key)
			}
		}
		is.Equal(len(left), 2) // the keeper's member and txn rows
		keeper := w.daemon["keeper"]
		is.Equal(len(keeper.members.Members()), 1)
		is.Equal(len(keeper.rollout.fresh.peers), 0)
		is.Equal(len(keeper.rollout.relay.progress), 0)
	})
}

// Guards against two rows for one address: a process that replaces one that
// died on the same VM takes its row away, also if the answer of its commit is lost.
func TestRestartReplacesTheOldRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(7, t.Fatalf)
		defer w.close()
		a, b := w.start("a", storeRegion), w.start("b", storeRegion)
		w.pass(5 * time.Second)
		a.kill(true)
		w.table.set(func(t *table) { t.loseAnswers = true })
		next := member.New(member.Config{
			Self: member.Member{ID: "a2", PeerAddr: a.addr}, Store: &access{table: w.table, latency: func() (time.Duration, bool) { return nearLatency, true }},
		})
		is.NoErr(next.Join(context.Background()))
		is.True(next.Check().Version > 0)
		w.table.set(func(t *table) { t.loseAnswers = false })
		w.pass(5 * time.Second)
		var ids []string
		for _, m := range b.members.Members() {
			ids = append(ids, string(m.ID))
		}
		is.Equal(ids, []string{"a2", "b"})
	})
}
