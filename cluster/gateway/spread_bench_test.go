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

// spreadModel simulates a service with 50 runners of 8 slots, shared evenly by the daemons.
// A runner has 4 cores, so requests take longer when there are more of them. Two runners are
// three times slower than the others. Time is virtual and the seed is fixed.
type spreadModel struct {
	random      *rand.Rand
	now         time.Time
	completions completionHeap
	daemons     [][]*runner
	inFlight    []int
	waiting     [][]time.Time
	latency     *hdrhistogram.Histogram
	// variation sums the coefficient of variation of the requests at the runners, measured at each arrival.
	variation float64
	arrivals  int
	choose    func(runners []*runner, random *rand.Rand, now time.Time) *runner
}

type completion struct {
	endsAt, arrivedAt, startedAt time.Time
	daemon, runner               int
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].endsAt.Before(h[j].endsAt) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any          { old := *h; x := old[len(old)-1]; *h = old[:len(old)-1]; return x }

const (
	spreadRunners         = 50
	spreadCores           = 4
	spreadSlowRunners     = 2
	spreadMeanServiceTime = 50 * time.Millisecond
)

func newSpreadModel(daemons int, choose func([]*runner, *rand.Rand, time.Time) *runner) *spreadModel {
	m := &spreadModel{
		random: rand.New(rand.NewPCG(5, 8)), now: time.Unix(0, 0), inFlight: make([]int, spreadRunners),
		waiting: make([][]time.Time, daemons), latency: hdrhistogram.New(1, int64(time.Minute), 3), choose: choose,
	}
	for d := range daemons {
		var runners []*runner
		for i := range spreadRunners {
			slots := defaultSlots / daemons
			if (i+d)%daemons < defaultSlots%daemons {
				slots++
			}
			s := &service{memberCount: daemons}
			runners = append(runners, &runner{slotQuota: &slotQuota{capacity: defaultSlots, limit: slots}, service: s, maxConnections: defaultConnections})
			runners[i].vm.ID = fmt.Sprint(i)
		}
		m.daemons = append(m.daemons, runners)
	}
	return m
}

// run sends requests at a fraction of the capacity of the cores.
func (m *spreadModel) run(requests int, load float64) {
	meanGap := float64(spreadMeanServiceTime) / (spreadRunners * spreadCores * load)
	for range requests {
		next := m.now.Add(time.Duration(m.random.ExpFloat64() * meanGap))
		m.completeUntil(next)
		m.now = next
		m.recordVariation()
		d := m.random.IntN(len(m.daemons))
		if !m.start(d, m.now) {
			m.waiting[d] = append(m.waiting[d], m.now)
		}
	}
	m.completeUntil(m.now.Add(time.Hour))
}

func (m *spreadModel) start(d int, arrivedAt time.Time) bool {
	r := m.choose(m.daemons[d], m.random, m.now)
	if r == nil {
		return false
	}
	var i int
	_, _ = fmt.Sscan(r.vm.ID, &i)
	r.inFlight++
	m.inFlight[i]++
	duration := math.Exp(0.5*m.random.NormFloat64()-0.125) * float64(spreadMeanServiceTime) * max(1, float64(m.inFlight[i])/spreadCores)
	if i < spreadSlowRunners {
		duration *= 3
	}
	heap.Push(&m.completions, completion{m.now.Add(time.Duration(duration)), arrivedAt, m.now, d, i})
	return true
}

func (m *spreadModel) completeUntil(t time.Time) {
	for len(m.completions) > 0 && !m.completions[0].endsAt.After(t) {
		done := heap.Pop(&m.completions).(completion)
		m.now = done.endsAt
		r := m.daemons[done.daemon][done.runner]
		r.inFlight--
		r.latency.add(done.endsAt.Sub(done.startedAt), done.endsAt)
		m.inFlight[done.runner]--
		_ = m.latency.RecordValue(int64(done.endsAt.Sub(done.arrivedAt)))
		if w := m.waiting[done.daemon]; len(w) > 0 && m.start(done.daemon, w[0]) {
			m.waiting[done.daemon] = w[1:]
		}
	}
}

func (m *spreadModel) recordVariation() {
	sum, squares := 0.0, 0.0
	for _, n := range m.inFlight {
		sum += float64(n)
		squares += float64(n * n)
	}
	if mean := sum / spreadRunners; mean > 0 {
		m.variation += math.Sqrt(max(squares/spreadRunners-mean*mean, 0)) / mean
		m.arrivals++
	}
}

func chooseRandom(runners []*runner, random *rand.Rand, _ time.Time) *runner {
	var s runnerSample
	for _, r := range runners {
		if r.hasFreeSlot() {
			s.add(r, random)
		}
	}
	return s.chosen[0]
}

func chooseLessLoaded(runners []*runner, random *rand.Rand, now time.Time) *runner {
	return chooseRunner(runners, nil, random, now)
}

// BenchmarkSpread compares the spread of load and the tail latency of chooseRunner with those of a random choice.
func BenchmarkSpread(b *testing.B) {
	choices := []struct {
		name   string
		choose func([]*runner, *rand.Rand, time.Time) *runner
	}{{"random", chooseRandom}, {"two", chooseLessLoaded}}
	for _, daemons := range []int{1, 7} {
		for _, load := range []float64{0.5, 0.8} {
			for _, p := range choices {
				b.Run(fmt.Sprintf("daemons=%d/load=%.1f/choice=%s", daemons, load, p.name), func(b *testing.B) {
					var m *spreadModel
					for b.Loop() {
						m = newSpreadModel(daemons, p.choose)
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
