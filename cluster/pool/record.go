package pool

import (
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

func (s *Scheduler) markDirty(j *job) {
	if !j.dirty && !j.expired {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// emitRecord puts the changed state into one record; the next record waits until it is written.
func (s *Scheduler) emitRecord() {
	if s.recordInFlight || len(s.dirtyJobs) < maxRecordRows && s.now.Sub(s.lastRecordAt) < recordInterval {
		return
	}
	s.updateRecordMetrics()
	s.expireJobs()
	if len(s.dirtyJobs) == 0 && !s.workersDirty && !s.hasUnrecordedEnds() && len(s.expiredJobs) == 0 {
		return
	}
	s.generation++
	s.recordInFlight = true
	r := &WriteRecord{Generation: s.generation}
	if len(s.dirtyJobs) > maxRecordRows {
		// A job is shown as running until its end is recorded.
		slices.SortStableFunc(s.dirtyJobs, compareRecorded)
	}
	n, size := 0, 0
	for ; n < len(s.dirtyJobs) && n < maxRecordRows && size < maxRecordBytes; n++ {
		j := s.dirtyJobs[n]
		j.dirty = false
		data, err := workload.EncodeProgress(j.progress)
		if err != nil {
			s.cfg.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("pool: failed to encode the progress of a job; it is not recorded")
			continue
		}
		if j.progress.State.Final() && j.finalGeneration == 0 {
			j.finalGeneration = s.generation
			s.endedJobs = append(s.endedJobs, j)
		}
		r.Progress = append(r.Progress, JobProgress{ID: j.spec.ID, Data: data})
		size += len(data)
	}
	s.dirtyJobs = append([]*job(nil), s.dirtyJobs[n:]...)
	if len(s.dirtyJobs) > 0 {
		s.postponeUnrecordedEnds()
	}
	if s.workersDirty {
		s.workersDirty = false
		r.Workers = s.recordWorkers()
	}
	if len(r.Progress) < maxRecordRows {
		n := min(len(s.expiredJobs), maxRecordRows-len(r.Progress))
		r.Expired = s.expiredJobs[:n]
		s.expiredJobs = s.expiredJobs[n:]
	}
	s.emit(r)
}

// compareRecorded orders changed jobs for a record, ended ones first.
func compareRecorded(a, b *job) int {
	switch ended := a.progress.State.Final(); {
	case ended == b.progress.State.Final():
		return 0
	case ended:
		return -1
	}
	return 1
}

func (s *Scheduler) updateRecordMetrics() {
	ends := 0
	for _, w := range s.sortedWorkers {
		ends += len(w.unrecordedEnds)
	}
	s.metrics.unrecordedEnds.Update(float64(ends))
	s.metrics.changedJobs.Update(float64(len(s.dirtyJobs)))
}

// hasUnrecordedEnds reports whether run ends, also ones that changed no job, wait to be acknowledged.
func (s *Scheduler) hasUnrecordedEnds() bool {
	for _, w := range s.sortedWorkers {
		if len(w.unrecordedEnds) > len(w.deferredEnds) {
			return true
		}
	}
	return false
}

// postponeUnrecordedEnds moves the run ends of the jobs that do not fit into the record to the next generation.
func (s *Scheduler) postponeUnrecordedEnds() {
	for _, w := range s.sortedWorkers {
		for i := range w.unrecordedEnds {
			if e := &w.unrecordedEnds[i]; e.generation == s.generation && e.job != nil && e.job.dirty {
				e.generation++
			}
		}
	}
}

// recordWorkers lists the workers that may be sent requests once the record is in the store.
func (s *Scheduler) recordWorkers() []RecordedWorker {
	list := make([]RecordedWorker, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.registeredGeneration == 0 {
			w.registeredGeneration = s.generation
		}
		recorded := RecordedWorker{ID: w.vm.ID}
		if expiry := laterTime(s.inheritedWorkers[w.vm.ID].longLeaseExpiry, w.longLeaseExpiry); s.now.Before(expiry) {
			recorded.LongLeaseExpiry = expiry
		}
		switch {
		case w.holdUnanswered:
			recorded.LeaseExpiry = s.unresponsiveLeaseExpiry(w)
			w.recordedUnresponsive, w.responsiveGeneration = true, 0
		case w.recordedUnresponsive && w.responsiveGeneration == 0:
			w.responsiveGeneration = s.generation
		}
		list = append(list, recorded)
	}
	for id, w := range s.inheritedWorkers {
		if s.workers[id] == nil {
			list = append(list, RecordedWorker{ID: id, LeaseExpiry: w.leaseExpiry, LongLeaseExpiry: w.longLeaseExpiry})
		}
	}
	return list
}

// unresponsiveLeaseExpiry returns when the leases of a worker that does not reply have expired. It returns zero, which
// counts as responsive, if that is not known.
func (s *Scheduler) unresponsiveLeaseExpiry(w *worker) time.Time {
	switch inherited, ok := s.inheritedWorkers[w.vm.ID]; {
	case ok && inherited.leaseExpiry.After(w.leaseExpiry):
		return inherited.leaseExpiry
	case w.leaseExpiry.IsZero() && !w.fenceAccepted:
		// This owner has granted no lease, and those of earlier owners have expired.
		return s.cfg.Now
	}
	return w.leaseExpiry
}

// recordWritten marks everything in the record of a generation as recorded.
func (s *Scheduler) recordWritten(generation uint64) {
	s.recordInFlight = false
	s.lastRecordAt = s.now
	s.recordedGeneration = generation
	for _, w := range s.sortedWorkers {
		w.markEndsRecorded(generation)
		if w.recordedUnresponsive && w.responsiveGeneration != 0 && w.responsiveGeneration <= generation {
			w.recordedUnresponsive = false
		}
	}
	for _, j := range s.endedJobs {
		if j.finalGeneration != 0 && j.finalGeneration <= generation {
			s.showState(j, j.progress.State)
		}
	}
}

// markEndsRecorded allows the run ends up to a generation to be acknowledged.
func (w *worker) markEndsRecorded(generation uint64) {
	n := 0
	for n < len(w.unrecordedEnds) && w.unrecordedEnds[n].generation <= generation {
		w.lastEndRecorded = w.unrecordedEnds[n].number
		n++
	}
	w.unrecordedEnds = w.unrecordedEnds[n:]
}
