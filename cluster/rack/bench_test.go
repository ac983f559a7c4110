package rack

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// costMeter measures the steps of the controllers of a cell and the size of their calls.
type costMeter struct {
	steps    int
	stepTime time.Duration
	slowest  time.Duration
	// storeBytes is the size of the rows written to the table service, rackBytes the
	// size of the calls to the rack service.
	storeBytes int
	rackBytes  int
}

// addStep adds the duration of one step.
func (m *costMeter) addStep(duration time.Duration) {
	m.steps++
	m.stepTime += duration
	m.slowest = max(m.slowest, duration)
}

// addExchange adds the size of one call as JSON, which is the format of the platform's client.
func (m *costMeter) addExchange(parts ...any) {
	for _, p := range parts {
		if data, err := json.Marshal(p); err == nil {
			m.rackBytes += len(data)
		}
	}
}

// benchCell returns a cell of one daemon and racks of 8 workers, after submitting
// the given number of tasks per worker.
func benchCell(b *testing.B, workers, pendingPerWorker int) *cell {
	c := newCell(b, 1, 0, 1, (workers+7)/8, 8)
	for _, w := range c.racks.workers {
		w.capacity = cluster.Resources{CPU: 16 * cluster.Core, Memory: 64 * cluster.GiB}
	}
	c.setLimit(cluster.Resources{CPU: 1_000_000 * cluster.Core, Memory: 1 << 50})
	c.racks.runTime = func(id cluster.AttemptID) time.Duration { return time.Duration(5+id.Task.Index%10) * time.Second }
	c.racks.skipChecks = true
	c.addDaemons(1, 1)
	c.run(3 * time.Second)
	tasks := workers * pendingPerWorker
	for i := range max(tasks/100, 1) {
		c.submit(c.daemons[0], batchJob(fmt.Sprintf("b%d", i), 100, 3500, i%2 == 0))
	}
	c.run(2 * time.Second)
	return c
}

// BenchmarkStep measures a step with about 4 running tasks per worker that end after
// 5 to 14 s and with 17 pending tasks per worker, which is the target of 10,000
// pending tasks for 590 workers.
func BenchmarkStep(b *testing.B) {
	for _, workers := range []int{84, 590, 5900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchCell(b, workers, 17)
			c.meter = &costMeter{}
			starts := c.racks.startCount
			b.ResetTimer()
			for range b.N {
				c.run(100 * time.Millisecond)
			}
			m := c.meter
			b.ReportMetric(float64(m.stepTime.Microseconds())/float64(b.N), "µs/tick")
			b.ReportMetric(float64(m.stepTime.Microseconds())/float64(m.steps), "µs/step")
			b.ReportMetric(float64(m.slowest.Microseconds()), "µs/slowest")
			b.ReportMetric(float64(c.racks.startCount-starts)/float64(b.N), "starts/tick")
		})
	}
}

// BenchmarkControlCost measures the rows and bytes written, the commits and the
// bytes exchanged with the racks per 1,000 starts at 84 workers, and the reads per
// second.
func BenchmarkControlCost(b *testing.B) {
	for range b.N {
		c := benchCell(b, 84, 60)
		c.meter = &costMeter{}
		starts, rows, commits, reads := c.racks.startCount, c.store.putCount, c.store.commitCount, c.store.readCount
		c.run(30 * time.Second)
		thousandStarts := float64(c.racks.startCount-starts) / 1000
		b.ReportMetric(thousandStarts*1000/30, "starts/s")
		b.ReportMetric(float64(c.store.putCount-rows)/thousandStarts, "rows/1000")
		b.ReportMetric(float64(c.store.commitCount-commits)/thousandStarts, "commits/1000")
		b.ReportMetric(float64(c.store.readCount-reads)/30, "reads/s")
		b.ReportMetric(float64(c.meter.storeBytes)/thousandStarts, "storeB/1000")
		b.ReportMetric(float64(c.meter.rackBytes)/thousandStarts, "rackB/1000")
	}
}

// BenchmarkTaskMemory measures the heap that a pending task uses in the controller and in its row.
func BenchmarkTaskMemory(b *testing.B) {
	for range b.N {
		c := benchCell(b, 8, 1)
		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		before := heap()
		for i := range 100 {
			c.submit(c.daemons[0], batchJob(fmt.Sprintf("m%d", i), 500, cluster.Core, false))
		}
		c.run(2 * time.Second)
		b.ReportMetric(float64(heap()-before)/50000, "B/task")
		runtime.KeepAlive(c)
	}
}
