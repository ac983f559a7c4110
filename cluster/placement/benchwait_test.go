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
	newQueue func(total cluster.Resources) itemQueue
}{
	{"fcfs", FirstFit{}, false, func(cluster.Resources) itemQueue { return &fifo{strict: true} }},
	{"fcfs-passing", FirstFit{}, false, func(cluster.Resources) itemQueue { return &fifo{} }},
	{"strict-order", Indexed{}, true, func(t cluster.Resources) itemQueue {
		return newWeightedQueue(QueueConfig{Total: t, PackingCycle: 1})
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
	addArrival := func(k *jobKind, submitted time.Time) *arrival {
		serial++
		a := newArrival(random, k, serial, submitted)
		arrivals = append(arrivals, a)
		return a
	}
	for i := range mix {
		for n := 0; mix[i].service && n < waitWorkers; n++ {
			addArrival(&mix[i], testStart).runTime = 2 * arrivalDays * day
		}
	}
	batch := slices.DeleteFunc(slices.Clone(mix), func(k jobKind) bool { return k.service || k.name == "reconciliation" })
	for at, pendingWork := testStart, 0.0; at.Before(testStart.Add(arrivalDays * day)); {
		a := addArrival(drawKind(random, batch), at)
		pendingWork += a.item.Size.Times(int64(a.item.Tasks)).DominantShare(total) * a.runTime.Hours()
		// Twice as much work arrives from 8:00 to 20:00 as at night.
		for hour := at.Hour(); pendingWork > 0; hour = at.Hour() {
			currentLoad := load * 2 / 3
			if hour >= 8 && hour < 20 {
				currentLoad = load * 4 / 3
			}
			at = at.Add(time.Minute)
			pendingWork -= currentLoad / 60
		}
	}
	for i := range mix {
		for n := range arrivalDays {
			if mix[i].name == "reconciliation" {
				a := addArrival(&mix[i], testStart.Add(time.Duration(n)*day+21*time.Hour))
				a.item.Tasks, a.item.Deadline = 300, testStart.Add(time.Duration(n)*day+25*time.Hour)
			}
		}
	}
	slices.SortStableFunc(arrivals, func(a, b *arrival) int { return a.item.SubmittedAt.Compare(b.item.SubmittedAt) })
	return arrivals
}

// BenchmarkWait measures the wait times of the Erzählwerk mix and the lateness of the
// nightly reconciliation of the Caroni Vale mix on 50 workers.
func BenchmarkWait(b *testing.B) {
	for _, customer := range []struct {
		name  string
		mix   []jobKind
		cores cluster.CPU
	}{{"erzaehlwerk", erzaehlwerk, 16}, {"caroni", caroni, 32}} {
		for _, load := range []float64{0.7, 0.9} {
			for _, s := range schedulers {
				b.Run(fmt.Sprintf("%s/load=%.1f/%s", customer.name, load, s.name), func(b *testing.B) {
					for range b.N {
						table := newFleet(waitWorkers, customer.cores)
						sim := newSimulation(table, s.newQueue(table.Total()), s.policy)
						if s.learning {
							sim.estimator = NewEstimator(EstimatorConfig{})
						}
						arrivals := newArrivals(customer.mix, table.Total(), load)
						sim.run(arrivals, testStart.Add(100*day))
						sim.reportWaits(b, arrivals)
					}
				})
			}
		}
	}
}

// reportWaits reports the wait times in minutes per kind and the lateness of jobs with a deadline.
func (sim *simulation) reportWaits(b *testing.B, arrivals []*arrival) {
	for name, waitTimes := range sim.waitTimes {
		slices.Sort(waitTimes)
		sum := time.Duration(0)
		for _, w := range waitTimes {
			sum += w
		}
		if slices.Contains([]string{"transcription-long", "transcription", "model", "preview", "analysis", "statement", "till-check"}, name) {
			b.ReportMetric((sum / time.Duration(len(waitTimes))).Minutes(), name+"-mean-min")
			b.ReportMetric(waitTimes[len(waitTimes)*95/100].Minutes(), name+"-p95-min")
		}
	}
	var lateness []time.Duration
	for _, a := range arrivals {
		if !a.item.Deadline.IsZero() {
			lateness = append(lateness, max(0, sim.finishedAt[a.item.Job].Sub(a.item.Deadline)))
		}
	}
	if len(lateness) > 0 {
		lateNights := 0
		for _, d := range lateness {
			lateNights += boolToInt(d > 0)
		}
		b.ReportMetric(float64(lateNights), "late-nights")
		b.ReportMetric(slices.MaxFunc(lateness, cmp.Compare).Minutes(), "latest-min")
	}
	b.ReportMetric(float64(sim.failures), "failures")
}
