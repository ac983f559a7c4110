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

// inVirtualTime runs f in a bubble, which needs a *testing.T.
func inVirtualTime(b *testing.B, f func(t *testing.T)) {
	all := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}}) {
		b.Fatal("the run failed")
	}
}

const (
	// changeInterval is the time between notes at 1,000 a day.
	changeInterval = 24 * time.Hour / 1000
	measuredNotes  = 12
)

// measurement is what a run of a cell costs.
type measurement struct {
	elapsed time.Duration
	inForce []time.Duration
	reads   int
	paid    map[paidlink.Cause]int64
	total   map[paidlink.Cause]int64
	daemons int
}

func (w *world) sum(count func(*paidlink.Counter, paidlink.Cause) int64) map[paidlink.Cause]int64 {
	sums := map[paidlink.Cause]int64{}
	for _, d := range w.daemon {
		for _, cause := range []paidlink.Cause{paidlink.CauseConfig, paidlink.CauseMember, paidlink.CauseStore} {
			sums[cause] += count(d.paid, cause)
		}
	}
	return sums
}

// spread returns the time until no daemon decides with an older note.
func (w *world) spread(version cluster.Version) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		behind := false
		for _, d := range w.daemon {
			if s := d.rollout.Status(); !d.isEnded() && s.Version < version && s.Fresh {
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

// disturb applies the faults of a scenario before note i.
func (w *world) disturb(scenario string, i int) {
	switch scenario {
	case "relays-die":
		for _, region := range []string{storeRegion, "south"} {
			lowest := ""
			for name, d := range w.daemon {
				if d.region == region && !d.isEnded() && (lowest == "" || name < lowest) {
					lowest = name
				}
			}
			w.daemon[lowest].kill(false)
			w.start(fmt.Sprintf("s%d-%s", 10+i, region), region)
		}
	case "region-cut":
		w.setCut("north", "south", i%2 == 0)
	}
}

func measure(t *testing.T, strategy Strategy, daemons int, scenario string) measurement {
	w := newWorld(1, t.Fatalf)
	w.strategy = strategy
	defer w.close()
	for i := range daemons {
		w.start(fmt.Sprintf("d%02d", i), []string{storeRegion, "south"}[i%2])
	}
	time.Sleep(15 * time.Second)
	apply := func(id, text string) cluster.Version {
		for _, name := range slices.Sorted(names(w)) {
			if d := w.daemon[name]; d.region == storeRegion && !d.isEnded() && d.rollout.Status().MayAccept {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				result, err := d.apply(ctx, id, text)
				cancel()
				if err == nil {
					return result.Version
				}
			}
		}
		t.Fatalf("note %s was accepted by no daemon", id)
		return 0
	}
	apply("first", firstNote)
	time.Sleep(10 * time.Second)
	start, reads := time.Now(), w.table.reads
	paid, total := w.sum((*paidlink.Counter).Crossed), w.sum((*paidlink.Counter).Total)
	m := measurement{daemons: daemons, paid: map[paidlink.Cause]int64{}, total: map[paidlink.Cause]int64{}}
	for i := range measuredNotes {
		next := time.Now().Add(changeInterval)
		w.disturb(scenario, i)
		id := fmt.Sprint("k", i)
		m.inForce = append(m.inForce, w.spread(apply(id, keyNote("add", id))))
		time.Sleep(time.Until(next))
	}
	m.elapsed, m.reads = time.Since(start), w.table.reads-reads
	for cause, n := range w.sum((*paidlink.Counter).Crossed) {
		m.paid[cause] = n - paid[cause]
	}
	for cause, n := range w.sum((*paidlink.Counter).Total) {
		m.total[cause] = n - total[cause]
	}
	slices.Sort(m.inForce)
	return m
}

func names(w *world) func(func(string) bool) {
	return func(yield func(string) bool) {
		for name := range w.daemon {
			if !yield(name) {
				return
			}
		}
	}
}

// BenchmarkPropagation compares the ways to spread the configuration at 1,000
// notes a day. Peer bytes are counted at both ends, so that the sums over the
// cell are halved; bytes to the store are counted once.
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

func report(b *testing.B, m measurement) {
	seconds := m.elapsed.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(m.inForce[len(m.inForce)/2].Seconds(), "s-median")
	b.ReportMetric(m.inForce[len(m.inForce)-1].Seconds(), "s-max")
	b.ReportMetric(float64(m.reads)/seconds, "reads/s")
	config := float64(m.paid[paidlink.CauseConfig])/2 + float64(m.paid[paidlink.CauseStore])
	b.ReportMetric(config/seconds, "paid-config-B/s")
	b.ReportMetric(float64(m.paid[paidlink.CauseMember])/2/seconds, "paid-member-B/s")
	all := float64(m.total[paidlink.CauseConfig] + m.total[paidlink.CauseStore])
	b.ReportMetric(all/seconds/float64(m.daemons), "config-B/s/daemon")
}

// BenchmarkControlBytes measures the bytes that a daemon sends and receives for
// pings and configuration while every rack of 590 workers changes every second.
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

func measureControl(b *testing.B, t *testing.T, daemons, racks int) {
	w := newWorld(1, t.Fatalf)
	w.racks = (racks + daemons - 1) / daemons
	defer w.close()
	for i := range daemons {
		w.start(fmt.Sprintf("entry-%02d-%016x", i, i), []string{storeRegion, "south"}[i%2])
	}
	time.Sleep(30 * time.Second)
	before := w.sum((*paidlink.Counter).Total)
	const length = 60
	time.Sleep(length * time.Second)
	after := w.sum((*paidlink.Counter).Total)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(after[paidlink.CauseMember]-before[paidlink.CauseMember])/length/float64(daemons), "ping-B/s/daemon")
	b.ReportMetric(float64(after[paidlink.CauseConfig]-before[paidlink.CauseConfig])/length/float64(daemons), "config-B/s/daemon")
}

// BenchmarkAuthorize measures the check of one key, which is on the path of every request.
func BenchmarkAuthorize(b *testing.B) {
	r := New(Config{Self: "a"})
	s := cluster.Assemble(0, nil)
	for _, text := range []string{firstNote, keyNote("add", "k1")} {
		n, err := note.Parse("note.yaml", []byte(text))
		if err != nil {
			b.Fatal(err)
		}
		s = n.After(s, 1)
	}
	r.published.Store(&published{snapshot: s, decision: decision{basis: time.Now().Add(time.Hour)}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := r.Authorize("k1", "tills"); err != nil {
			b.Fatal(err)
		}
	}
}
