package rollout

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
)

// inVirtualTime runs f in a synctest bubble, which needs a *testing.T.
func inVirtualTime(b *testing.B, f func(t *testing.T)) {
	matchAll := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(matchAll, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}}) {
		b.Fatal("the simulation failed")
	}
}

const (
	// changeInterval is the time between notes at 1,000 notes a day.
	changeInterval = 24 * time.Hour / 1000
	// measuredNotes is the number of notes submitted in a measurement.
	measuredNotes = 12
)

// measurement holds the costs and delays of propagation in one simulation.
type measurement struct {
	elapsed time.Duration
	// inForceDelays holds, in ascending order, the time from the acceptance of
	// each note until no daemon used an older one.
	inForceDelays []time.Duration
	// reads is the number of reads of the store.
	reads int
	// paidBytes counts the bytes over paid links, totalBytes all bytes.
	paidBytes  map[paidlink.Cause]int64
	totalBytes map[paidlink.Cause]int64
	daemons    int
}

// sumBytes returns the sums of a byte count over all daemons.
func (sim *simulation) sumBytes(count func(*paidlink.Counter, paidlink.Cause) int64) map[paidlink.Cause]int64 {
	sums := map[paidlink.Cause]int64{}
	for _, d := range sim.daemons {
		for _, cause := range []paidlink.Cause{paidlink.CauseConfig, paidlink.CauseMember, paidlink.CauseStore} {
			sums[cause] += count(d.paid, cause)
		}
	}
	return sums
}

// waitUntilInForce waits, for at most a minute, until no daemon honours keys with
// an older version of the configuration, and returns the time that it took.
func (sim *simulation) waitUntilInForce(version cluster.Version) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		behind := false
		for _, d := range sim.daemons {
			if s := d.rollout.Status(); !d.isStopped() && s.Version < version && s.Fresh {
				behind = true
			}
		}
		if !behind {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// injectFault applies the faults of a scenario before note i.
func (sim *simulation) injectFault(scenario string, i int) {
	switch scenario {
	case "relays-die":
		for _, region := range []string{storeRegion, "south"} {
			relay := ""
			for name, d := range sim.daemons {
				if d.region == region && !d.isStopped() && (relay == "" || name < relay) {
					relay = name
				}
			}
			sim.daemons[relay].kill(false)
			sim.start(fmt.Sprintf("s%d-%s", 10+i, region), region)
		}
	case "region-cut":
		sim.setUnreachable("north", "south", i%2 == 0)
	}
}

// measure runs a simulation in which measuredNotes notes are submitted.
func measure(t *testing.T, strategy Strategy, daemons int, scenario string) measurement {
	sim := newSimulation(1, t.Fatalf)
	sim.strategy = strategy
	defer sim.close()
	for i := range daemons {
		sim.start(fmt.Sprintf("d%02d", i), []string{storeRegion, "south"}[i%2])
	}
	time.Sleep(15 * time.Second)
	submit := func(id, text string) cluster.Version {
		for _, name := range slices.Sorted(unsortedDaemonNames(sim)) {
			if d := sim.daemons[name]; d.region == storeRegion && !d.isStopped() && d.rollout.Status().MayAccept {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				result, err := d.submitNote(ctx, id, text)
				cancel()
				if err == nil {
					return result.Version
				}
			}
		}
		t.Fatalf("no daemon accepted note %s", id)
		return 0
	}
	submit("first", firstNote)
	time.Sleep(10 * time.Second)
	start, readsBefore := time.Now(), sim.table.readCount
	paidBefore, totalBefore := sim.sumBytes((*paidlink.Counter).Crossed), sim.sumBytes((*paidlink.Counter).Total)
	m := measurement{daemons: daemons, paidBytes: map[paidlink.Cause]int64{}, totalBytes: map[paidlink.Cause]int64{}}
	for i := range measuredNotes {
		nextNoteAt := time.Now().Add(changeInterval)
		sim.injectFault(scenario, i)
		id := fmt.Sprint("k", i)
		m.inForceDelays = append(m.inForceDelays, sim.waitUntilInForce(submit(id, keyNote("add", id))))
		time.Sleep(time.Until(nextNoteAt))
	}
	m.elapsed, m.reads = time.Since(start), sim.table.readCount-readsBefore
	for cause, n := range sim.sumBytes((*paidlink.Counter).Crossed) {
		m.paidBytes[cause] = n - paidBefore[cause]
	}
	for cause, n := range sim.sumBytes((*paidlink.Counter).Total) {
		m.totalBytes[cause] = n - totalBefore[cause]
	}
	slices.Sort(m.inForceDelays)
	return m
}

// unsortedDaemonNames iterates over the names of all daemons.
func unsortedDaemonNames(sim *simulation) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range sim.daemons {
			if !yield(name) {
				return
			}
		}
	}
}

// BenchmarkPropagation compares the propagation strategies at 1,000 notes a day.
// Bytes between peers are counted at both ends, so their sums over the cell are
// halved; bytes exchanged with the store are counted once.
func BenchmarkPropagation(b *testing.B) {
	for _, daemons := range []int{7, 40} {
		for _, scenario := range []string{"calm", "relays-die", "region-cut"} {
			for strategy, name := range []string{"relay", "poll", "push"} {
				b.Run(fmt.Sprintf("%d/%s/%s", daemons, scenario, name), func(b *testing.B) {
					for range b.N {
						inVirtualTime(b, func(t *testing.T) {
							report(b, measure(t, Strategy(strategy), daemons, scenario))
						})
					}
				})
			}
		}
	}
}

// report reports a measurement as metrics of the benchmark.
func report(b *testing.B, m measurement) {
	seconds := m.elapsed.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(m.inForceDelays[len(m.inForceDelays)/2].Seconds(), "s-median")
	b.ReportMetric(m.inForceDelays[len(m.inForceDelays)-1].Seconds(), "s-max")
	b.ReportMetric(float64(m.reads)/seconds, "reads/s")
	config := float64(m.paidBytes[paidlink.CauseConfig])/2 + float64(m.paidBytes[paidlink.CauseStore])
	b.ReportMetric(config/seconds, "paid-config-B/s")
	b.ReportMetric(float64(m.paidBytes[paidlink.CauseMember])/2/seconds, "paid-member-B/s")
	all := float64(m.totalBytes[paidlink.CauseConfig] + m.totalBytes[paidlink.CauseStore])
	b.ReportMetric(all/seconds/float64(m.daemons), "config-B/s/daemon")
}

// BenchmarkControlBytes measures the bytes that a daemon sends and receives for
// pings and configuration, without racks and while the digests of the 74 racks of
// 590 workers change every second.
func BenchmarkControlBytes(b *testing.B) {
	for _, daemons := range []int{7, 40} {
		for _, racks := range []int{0, 74} {
			b.Run(fmt.Sprintf("%d-daemons/%d-racks", daemons, racks), func(b *testing.B) {
				for range b.N {
					inVirtualTime(b, func(t *testing.T) { measureControl(b, t, daemons, racks) })
				}
			})
		}
	}
}

// measureControl runs a simulation without notes for a minute.
func measureControl(b *testing.B, t *testing.T, daemons, racks int) {
	sim := newSimulation(1, t.Fatalf)
	sim.racks = (racks + daemons - 1) / daemons
	defer sim.close()
	for i := range daemons {
		sim.start(fmt.Sprintf("entry-%02d-%016x", i, i), []string{storeRegion, "south"}[i%2])
	}
	time.Sleep(30 * time.Second)
	before := sim.sumBytes((*paidlink.Counter).Total)
	const length = 60
	time.Sleep(length * time.Second)
	after := sim.sumBytes((*paidlink.Counter).Total)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(after[paidlink.CauseMember]-before[paidlink.CauseMember])/length/float64(daemons), "ping-B/s/daemon")
	b.ReportMetric(float64(after[paidlink.CauseConfig]-before[paidlink.CauseConfig])/length/float64(daemons), "config-B/s/daemon")
}

// BenchmarkAuthorize measures Authorize, which runs for every request.
func BenchmarkAuthorize(b *testing.B) {
	r := New(Config{Self: "a"})
	s := cluster.Assemble(0, nil)
	for _, text := range []string{firstNote, keyNote("add", "k1")} {
		n, err := note.Parse("note.yaml", []byte(text))
		if err != nil {
			b.Fatal(err)
		}
		s = n.ApplyTo(s, 1)
	}
	r.published.Store(&published{snapshot: s, decision: decision{confirmedAt: time.Now().Add(time.Hour)}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Authorize("k1", "tills"); err != nil {
			b.Fatal(err)
		}
	}
}
