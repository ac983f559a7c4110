package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// Guards against ended tasks being counted once per daemon: a job of 40 tasks
// was listed with 240 finished ones by six daemons.
func TestListingCountsEachTaskOnce(t *testing.T) {
	is := is.New(t)
	part := func(daemon string, state string, running, recorded int) localListing {
		return localListing{Daemon: daemon, Jobs: []localJob{{
			JobStatus: api.JobStatus{ID: "j", Team: "a", State: state, Tasks: api.TaskCounts{Running: running}},
			Recorded:  api.TaskCounts{Finished: recorded},
		}}}
	}
	l := listing{parts: []localListing{part("d1", "active", 3, 30), part("d2", "active", 4, 33), part("d3", "active", 0, 33)}}
	jobs := l.jobs()
	is.Equal(len(jobs), 1)
	is.Equal(jobs[0].Tasks, api.TaskCounts{Running: 7, Finished: 33})
	is.Equal(jobs[0].State, "active")

	l = listing{parts: []localListing{part("d1", "active", 0, 39), part("d2", "finished", 0, 40)}}
	is.Equal(l.jobs()[0].Tasks, api.TaskCounts{Finished: 40})
	is.Equal(l.jobs()[0].State, "finished")
}
