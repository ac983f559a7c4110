package placement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// schedulers are the compared combinations of queue, placement policy and size estimation.
var schedulers = []struct {
	name     string
	policy   Policy
	learning bool
	order    func(total cluster.Resources) itemQueue
}{
	{"fcfs", FirstFit{}, false, func(cluster.Resources) itemQueue { return &fifo{strict: true} }},
	{"fcfs-passing", FirstFit{}, false, func(cluster.Resources) itemQueue { return &fifo{} }},
	{"strict-order", Indexed{}, true, func(t cluster.Resources) itemQueue {
		return newWeightedQueue(QueueConfig{Total: t, PackTurns: 1})
	}},
	{"no-learning", Indexed{}, false, func(t cluster.Resources) itemQueue { return newWeightedQueue(QueueConfig{Total: t}) }},
	{"all", Indexed{}, true, func(t cluster.Resources) itemQueue { return newWeightedQueue(QueueConfig{Total: t}) }},
}

// newWeightedQueue returns a queue with team weights as in a cell with a few large teams.
func newWeightedQueue(cfg QueueConfig) *Queue {
	q := NewQueue(cfg)
	for team, weight := range map[cluster.TeamName]int{"zuerich": 3, "basel": 2, "chaguanas": 3, "arima": 2} {
		q.SetTeam(team, TeamConfig{Weight: weight})
	}
	return q
}

const (
	waitWorkers = 50
	arrivalDays = 5
	day         = 24 * time.Hour
)

// newArrivals returns five days of arrivals of a mix. The load is the product of the
// declared sizes and the real run times as a fraction of the fleet. Services arrive first.
func newArrivals(mix []jobKind, total cluster.Resources, load float64) []*arrival {
	random := rand.New(rand.NewPCG(7, 8))
	var arrivals []*arrival
	serial := 0
	add := func(k *jobKind, at time.Time) *arrival {
		serial++
		a := newArrival(random, k, serial, at)
		arrivals = append(arrivals, a)
		return a
	}
	for i := range mix {
		for n := 0; mix[i].service && n < waitWorkers; n++ {
			add(&mix[i], epoch).runTime = 2 * arrivalDays * day
		}
	}
	batch := slices.DeleteFunc(slices.Clone(mix), func(k jobKind) bool { return k.service || k.name == "reconciliation" })
	for at, work := epoch, 0.0; at.Before(epoch.Add(arrivalDays * day)); {
		a := add(drawKind(random, batch), at)
		work += a.item.Size.Times(int64(a.item.Tasks)).DominantShare(total) * a.runTime.Hours()
		// Twice as much work arrives from 8:00 to 20:00 as at night.
		for hour := at.Hour(); work > 0; hour = at.Hour() {
			rate := load * 2 / 3
			if hour >= 8 && hour < 20 {
				rate = load * 4 / 3
			}
			at = at.Add(time.Minute)
			work -= rate / 60
		}
	}
	for i := range mix {
		for n := range arrivalDays {
			if mix[i].name == "reconciliation" {
				a := add(&mix[i], epoch.Add(time.Duration(n)*day+21*time.Hour))
				a.item.Tasks, a.item.Deadline = 300, epoch.Add(time.Duration(n)*day+25*time.Hour)
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return a.item.Submitted.Compare(b.item.Submitted) })
	return arrivals
}

// BenchmarkWait measures the wait times of the Erzählwerk mix and the lateness of the
// nightly reconciliation of the Caroni Vale mix on 50 workers.
func BenchmarkWait(b *testing.B) {
	for _, u := range []struct {
		name  string
		mix   []jobKind
		cores cluster.CPU
	}{{"erzaehlwerk", erzaehlwerk, 16}, {"caroni", caroni, 32}} {
		for _, load := range []float64{0.7, 0.9} {
			for _, s := range schedulers {
				b.Run(fmt.Sprintf("%s/load=%.1f/%s", u.name, load, s.name), func(b *testing.B) {
					for range b.N {
						table := newFleet(waitWorkers, u.cores)
						l := newSimulation(table, s.order(table.Total()), s.policy)
						if s.learning {
							l.estimator = NewEstimator(EstimatorConfig{})
						}
						arrivals := newArrivals(u.mix, table.Total(), load)
						l.run(arrivals, epoch.Add(100*day))
						l.reportWaits(b, arrivals)
					}
				})
			}
		}
	}
}

// reportWaits reports the wait times in minutes per kind and the lateness of jobs with a deadline.
func (l *simulation) reportWaits(b *testing.B, arrivals []*arrival) {
	for name, waits := range l.waitTimes {
		slices.Sort(waits)
		sum := time.Duration(0)
		for _, w := range waits {
			sum += w
		}
		if slices.Contains([]string{"transcription-long", "transcription", "model", "preview", "analysis", "statement", "till-check"}, name) {
			b.ReportMetric((sum / time.Duration(len(waits))).Minutes(), name+"-mean-min")
			b.ReportMetric(waits[len(waits)*95/100].Minutes(), name+"-p95-min")
		}
	}
	var late []time.Duration
	for _, a := range arrivals {
		if !a.item.Deadline.IsZero() {
			late = append(late, max(0, l.finishedAt[a.item.Job].Sub(a.item.Deadline)))
		}
	}
	if len(late) > 0 {
		nights := 0
		for _, d := range late {
			nights += boolToInt(d > 0)
		}
		b.ReportMetric(float64(nights), "late-nights")
		b.ReportMetric(slices.MaxFunc(late, cmp.Compare).Minutes(), "latest-min")
	}
	b.ReportMetric(float64(l.failures), "failures")
}
