package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a record that exceeds the size of a transaction, as the progress of many large jobs has changed. The
// store refuses it each time, which blocks the records of the shard.
func TestRecordFitsIntoTransaction(t *testing.T) {
	is := is.New(t)
	// A transaction may have 1 MB, in which values are encoded as base64.
	const transactionBytes = 1_000_000 * 3 / 4
	const count = maxRecordRows
	p := newExpiryPool()
	for i := range count {
		progress := &workload.Progress{State: workload.StateRunning}
		for index := range workload.MaxTasks {
			progress.AddFailure(index, uint64(20)<<28+uint64(index))
		}
		job := &workload.Job{
			ID: cluster.JobName(fmt.Sprintf("%016x", i)), Team: testTeam, Queue: testQueue, AcceptedAt: p.now, Terms: workload.Terms{Service: testService},
			Steps: []workload.Step{{Tasks: workload.MaxTasks, Estimate: time.Second, LongRunning: true, Label: "missing"}},
		}
		p.events = append(p.events, &JobAccepted{Job: job, Progress: progress}, &JobCancelled{ID: job.ID})
	}
	p.runFor(20 * time.Second)
	is.Equal(len(p.recorded), count)
	is.True(p.largestRecord <= transactionBytes)
}
