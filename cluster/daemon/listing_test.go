package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// Guards against counting ended tasks once per daemon: with six daemons, a job
// of 40 tasks was listed with 240 finished ones.
func TestListingCountsEachTaskOnce(t *testing.T) {
	is := is.New(t)
	daemonListing := func(daemon string, state string, running, recorded int) localListing {
		return localListing{Daemon: daemon, Jobs: []localJob{{
			JobStatus: api.JobStatus{ID: "j", Team: "a", State: state, Tasks: api.TaskCounts{Running: running}},
			Recorded:  api.TaskCounts{Finished: recorded},
		}}}
	}
	l := listing{daemonListings: []localListing{daemonListing("d1", "active", 3, 30), daemonListing("d2", "active", 4, 33), daemonListing("d3", "active", 0, 33)}}
	jobs := l.jobs()
	is.Equal(len(jobs), 1)
	is.Equal(jobs[0].Tasks, api.TaskCounts{Running: 7, Finished: 33})
	is.Equal(jobs[0].State, "active")

	l = listing{daemonListings: []localListing{daemonListing("d1", "active", 0, 39), daemonListing("d2", "finished", 0, 40)}}
	is.Equal(l.jobs()[0].Tasks, api.TaskCounts{Finished: 40})
	is.Equal(l.jobs()[0].State, "finished")
}
