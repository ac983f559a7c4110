package rack

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// gang is the progress of a gang start at the owner of the home rack.
type gang struct{}

// hold is room kept for the tasks of a gang job until it starts or the hold expires.
type hold struct {
	job     cluster.JobID
	size    cluster.Resources
	workers []cluster.WorkerID
	expires time.Time
}

// heldBy returns what is held for a team.
func (r *rack) heldBy(team cluster.TeamName) cluster.Resources {
	var sum cluster.Resources
	for _, h := range r.holds {
		if h.job.Team == team {
			sum = sum.Add(h.size.Times(int64(len(h.workers))))
		}
	}
	return sum
}

func (c *Controller) holdRequested(from cluster.DaemonID, m *peer.HoldRequest) {}
func (c *Controller) holdReplied(m *peer.HoldReply)                            {}
func (c *Controller) holdReleased(m *peer.HoldRelease)                         {}
func (c *Controller) runGangs()                                                {}
func (c *Controller) preempt()                                                 {}
func (c *Controller) move()                                                    {}

type declared struct{}

func (c *Controller) declareJobs() {}
