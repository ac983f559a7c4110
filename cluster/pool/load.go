package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/admission"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// wideGangShare is the part of the pool that a gang needs at least for narrow work to be rejected in its favor. A smaller
// gang soon finds room between the other tasks; in a pool where many short jobs are small gangs, others would be rejected
// all the time.
const wideGangShare = 0.005

// load is the measured load of the pool with the last report.
type load struct {
	meter  *admission.Meter
	report admission.Report
}

// Load returns the load of the pool after the last step. It is computed at most every admission.ReportInterval, as that
// takes time proportional to the open steps.
func (s *Scheduler) Load() admission.Report {
	if s.now.Sub(s.load.report.At) >= admission.ReportInterval {
		s.load.report = s.computeLoad()
	}
	return s.load.report
}

func (s *Scheduler) computeLoad() admission.Report {
	var pending admission.Pending
	var pool poolUse
	if len(s.openSteps) > 0 {
		pool = s.poolUse()
		labels := s.usableLabels()
		for _, st := range s.openSteps {
			if st.pendingTasks > 0 && s.competes(st, labels) {
				s.addPending(&pending, st)
			}
		}
	}
	report := s.load.meter.Report(s.now, pool.capacity, pool.used, pending, s.entitledJobs)
	report.Epoch = uint64(s.cfg.Epoch)
	report.Uncertain = s.suspended || s.stopped || !s.loaded || !s.takeoverComplete
	return report
}

// usableLabels returns the largest usable worker of each label; the empty label stands for all workers.
func (s *Scheduler) usableLabels() map[string]cluster.Resources {
	largest := map[string]cluster.Resources{}
	for _, w := range s.sortedWorkers {
		if !w.usable {
			continue
		}
		largest[""] = largest[""].Max(w.vm.Capacity)
		for _, label := range w.vm.Labels {
			largest[label] = largest[label].Max(w.vm.Capacity)
		}
	}
	return largest
}

// competes reports whether the pending tasks of a step wait for the capacity that a new job would use. Those that no
// usable worker is large enough for, or that the limit of their team holds back, keep no other job from starting.
func (s *Scheduler) competes(st *step, largest map[string]cluster.Resources) bool {
	if st.spec.LongRunning || s.now.Before(st.scheduledStart) {
		return false
	}
	capacity, ok := largest[st.spec.Label]
	return ok && accountedSize(st.spec).Fits(capacity) && s.withinLimit(st, 1)
}

// addPending adds the pending tasks of a step. Steps whose dependencies are not done count too: once these are, they come
// before a new job by their deadline.
func (s *Scheduler) addPending(p *admission.Pending, st *step) {
	work := admission.WorkOf(accountedSize(st.spec), st.spec.Estimate).Times(float64(st.pendingTasks))
	rank, untilDeadline := s.rank(st), st.deadline.Sub(s.now)
	switch u := s.urgency(st); u {
	case surplus:
		p.AddSurplus(work)
	case onTime, late:
		p.Add(rank, u == late, untilDeadline, work)
		if st.spec.Gang && s.isWide(st) && s.startable(st) && s.withinLimit(st, st.pendingTasks) {
			p.AddGang(admission.GangLoad{Rank: rank, Within: untilDeadline, LatestStart: untilDeadline - st.job.criticalPaths[st.id.Step]})
		}
	}
}

// isWide reports whether the pending tasks of a step need a considerable part of the pool at once.
func (s *Scheduler) isWide(st *step) bool {
	return accountedSize(st.spec).Times(int64(st.pendingTasks)).DominantShare(s.use.capacity) >= wideGangShare
}

// entitledJobs returns the number of jobs a second that a team may submit to this shard before they count as surplus; zero
// if there is no limit.
func (s *Scheduler) entitledJobs(name cluster.TeamName) float64 {
	if team := s.snapshot.Teams[name]; team != nil {
		return float64(team.Share) / float64(s.cfg.Shards)
	}
	return 0
}

// countAcceptedJob counts a new job. Jobs that a previous owner had accepted, and those that run later or for good, say
// nothing about what arrives in a second.
func (s *Scheduler) countAcceptedJob(j *job) {
	if s.loaded && !NeverRejected(j.spec) {
		s.load.meter.JobAccepted(s.now, j.spec.Team, s.terms(j).Rank, j.surplus, JobWork(j.spec))
	}
}

// NeverRejected reports whether a job is accepted whatever the load: it is long-running, or it is scheduled, so that the
// load now says nothing about it.
func NeverRejected(spec *workload.Job) bool {
	if spec.Recurrence.Count > 0 {
		return true
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// JobWork returns the work of all tasks of one occurrence of a job, by their declared run times.
func JobWork(spec *workload.Job) admission.Work {
	var work admission.Work
	for i := range spec.Steps {
		step := &spec.Steps[i]
		work = work.Add(admission.WorkOf(accountedSize(step), step.Estimate).Times(float64(step.Tasks)))
	}
	return work
}

// countEndedRun counts a run that completed its task, for the ratio of declared to actual run times.
func (s *Scheduler) countEndedRun(r *run, actual time.Duration) {
	s.load.meter.RunEnded(s.now, r.size.DominantShare(r.worker.vm.Capacity), r.step.spec.Estimate, actual)
}
