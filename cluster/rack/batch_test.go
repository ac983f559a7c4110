package rack

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against a failure anywhere between the submission of a job and the record of its end.
func TestBatchJobFinishes(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		c := newCell(t, 1, 3, 3, 2, 4)
		c.run(5 * time.Second)
		c.submit(c.daemons[0], batchJob("b", 30, cluster.Core, idempotent))
		c.run(20 * time.Second)
		is.Equal(c.submitResults[cluster.JobID{Team: "a", Name: "b"}].Outcome, Accepted)
		is.Equal(c.storedJob("b").state, JobFinished)
		is.Equal(c.racks.startCount, 30)
		c.run(15 * time.Minute)
		is.Equal(c.storedJob("b"), nil) // the row is deleted after the retention time
	}
}
