package gateway

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// spreadModel is a service with 50 runners of 8 slots, shared evenly by daemons.
// A runner has 4 cores: with more requests each takes longer. Two runners are
// three times slower than the others. Time is virtual and the seed is fixed.
type spreadModel struct {
	random  *rand.Rand
	now     time.Time
	end     endHeap
	daemons [][]*runner
	busy    []int
	waiting [][]time.Time
	latency *hdrhistogram.Histogram
	// variation sums the coefficient of variation of the requests at the runners, seen at each arrival.
	variation float64
	arrivals  int
	pick      func(runners []*runner, random *rand.Rand, now time.Time) *runner
}

type spreadEnd struct {
	at, arrived, started time.Time
	daemon, runner       int
}

type endHeap []spreadEnd

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(spreadEnd)) }
func (h *endHeap) Pop() any          { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

const (
	spreadRunners = 50
	spreadCores   = 4
	spreadSlow    = 2
	spreadMean    = 50 * time.Millisecond
)

func newSpreadModel(daemons int, pick func([]*runner, *rand.Rand, time.Time) *runner) *spreadModel {
	m := &spreadModel{
		random: rand.New(rand.NewPCG(5, 8)), now: time.Unix(0, 0), busy: make([]int, spreadRunners),
		waiting: make([][]time.Time, daemons), latency: hdrhistogram.New(1, int64(time.Minute), 3), pick: pick,
	}
	for d := range daemons {
		var runners []*runner
		for i := range spreadRunners {
			slots := defaultSlots / daemons
			if (i+d)%daemons < defaultSlots%daemons {
				slots++
			}
			s := &service{members: daemons}
			runners = append(runners, &runner{unit: &unit{capacity: defaultSlots, limit: slots}, service: s, allConnections: defaultConnections})
			runners[i].vm.ID = fmt.Sprint(i)
		}
		m.daemons = append(m.daemons, runners)
	}
	return m
}

// run sends requests at a part of the capacity of the cores.
func (m *spreadModel) run(requests int, load float64) {
	gap := float64(spreadMean) / (spreadRunners * spreadCores * load)
	for range requests {
		next := m.now.Add(time.Duration(m.random.ExpFloat64() * gap))
		m.finishUntil(next)
		m.now = next
		m.observe()
		d := m.random.IntN(len(m.daemons))
		if !m.start(d, m.now) {
			m.waiting[d] = append(m.waiting[d], m.now)
		}
	}
	m.finishUntil(m.now.Add(time.Hour))
}

func (m *spreadModel) start(d int, arrived time.Time) bool {
	r := m.pick(m.daemons[d], m.random, m.now)
	if r == nil {
		return false
	}
	var i int
	_, _ = fmt.Sscan(r.vm.ID, &i)
	r.inFlight++
	m.busy[i]++
	took := math.Exp(0.5*m.random.NormFloat64()-0.125) * float64(spreadMean) * max(1, float64(m.busy[i])/spreadCores)
	if i < spreadSlow {
		took *= 3
	}
	heap.Push(&m.end, spreadEnd{m.now.Add(time.Duration(took)), arrived, m.now, d, i})
	return true
}

func (m *spreadModel) finishUntil(t time.Time) {
	for len(m.end) > 0 && !m.end[0].at.After(t) {
		e := heap.Pop(&m.end).(spreadEnd)
		m.now = e.at
		r := m.daemons[e.daemon][e.runner]
		r.inFlight--
		r.latency.add(e.at.Sub(e.started), e.at)
		m.busy[e.runner]--
		_ = m.latency.RecordValue(int64(e.at.Sub(e.arrived)))
		if w := m.waiting[e.daemon]; len(w) > 0 && m.start(e.daemon, w[0]) {
			m.waiting[e.daemon] = w[1:]
		}
	}
}

func (m *spreadModel) observe() {
	sum, squares := 0.0, 0.0
	for _, n := range m.busy {
		sum += float64(n)
		squares += float64(n * n)
	}
	if mean := sum / spreadRunners; mean > 0 {
		m.variation += math.Sqrt(max(squares/spreadRunners-mean*mean, 0)) / mean
		m.arrivals++
	}
}

func pickRandom(runners []*runner, random *rand.Rand, _ time.Time) *runner {
	var s sample
	for _, r := range runners {
		if r.free() {
			s.add(r, random)
		}
	}
	return s.taken[0]
}

func pickTwo(runners []*runner, random *rand.Rand, now time.Time) *runner {
	return choose(runners, nil, random, now)
}

// BenchmarkSpread compares the spread of load and the tail latency of the choice with a random one.
func BenchmarkSpread(b *testing.B) {
	picks := []struct {
		name string
		pick func([]*runner, *rand.Rand, time.Time) *runner
	}{{"random", pickRandom}, {"two", pickTwo}}
	for _, daemons := range []int{1, 7} {
		for _, load := range []float64{0.5, 0.8} {
			for _, p := range picks {
				b.Run(fmt.Sprintf("daemons=%d/load=%.1f/choice=%s", daemons, load, p.name), func(b *testing.B) {
					var m *spreadModel
					for b.Loop() {
						m = newSpreadModel(daemons, p.pick)
						m.run(100_000, load)
					}
					b.ReportMetric(m.variation/float64(m.arrivals), "load-variation")
					b.ReportMetric(float64(m.latency.ValueAtQuantile(50))/1e6, "p50-ms")
					b.ReportMetric(float64(m.latency.ValueAtQuantile(99))/1e6, "p99-ms")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
