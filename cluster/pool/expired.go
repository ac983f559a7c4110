package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// expireJobs selects the jobs whose rows are to be deleted: those that ended more than endedJobRetention ago and
// those whose deletion has to be tried again. They stay known until their rows are deleted, as the rows may be read
// again until then.
func (s *Scheduler) expireJobs() {
	s.deletedJobs.prune(s.now)
	if len(s.undeletedJobs) > 0 && !s.now.Before(s.nextDeletionAt) {
		s.expiredJobs = append(s.expiredJobs, s.undeletedJobs...)
		s.undeletedJobs = nil
	}
	for len(s.endedJobs) > 0 {
		j := s.endedJobs[0]
		if s.now.Sub(j.progress.EndedAt) < endedJobRetention+time.Second || (j.finalGeneration == 0 && !j.visibleState.Final()) || j.dirty {
			return
		}
		s.endedJobs = s.endedJobs[1:]
		j.expired = true
		s.expiredJobs = append(s.expiredJobs, j.spec.ID)
	}
}

// jobsDeleted removes the jobs whose rows are deleted and schedules another attempt for the others.
func (s *Scheduler) jobsDeleted(e *JobsDeleted) {
	for _, id := range e.Deleted {
		delete(s.jobs, id)
		s.cfg.Quota.Remove(s.now, id)
		s.deletedStatuses = append(s.deletedStatuses, id)
		s.deletedJobs.add(id, s.now)
	}
	if len(e.Remaining) == 0 {
		return
	}
	if len(s.undeletedJobs) == 0 {
		s.nextDeletionAt = s.now.Add(deletionRetryDelay)
	}
	s.undeletedJobs = append(s.undeletedJobs, e.Remaining...)
}

// deletedJobs remembers the jobs whose rows were deleted in the last deletedJobRetention.
type deletedJobs struct {
	deletedAt map[cluster.JobName]time.Time
	// order holds the keys of deletedAt, the job that was deleted first at the beginning.
	order []cluster.JobName
}

func (d *deletedJobs) add(id cluster.JobName, now time.Time) {
	d.deletedAt[id] = now
	d.order = append(d.order, id)
}

// contains reports whether the job is one of the deleted jobs. A job that was accepted after the deletion is another
// one with the same identifier.
func (d *deletedJobs) contains(spec *workload.Job) bool {
	deletedAt, ok := d.deletedAt[spec.ID]
	return ok && spec.AcceptedAt.Before(deletedAt.Add(-MaxClockSkew))
}

// prune forgets the jobs that were deleted more than deletedJobRetention ago.
func (d *deletedJobs) prune(now time.Time) {
	for len(d.order) > 0 {
		id := d.order[0]
		if now.Sub(d.deletedAt[id]) < deletedJobRetention {
			return
		}
		delete(d.deletedAt, id)
		d.order = d.order[1:]
	}
}
