package pool

import (
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

func (s *Scheduler) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// emitRecord puts the changed state into one record; the next record waits until it is written.
func (s *Scheduler) record() {
	if s.recording || s.now.Sub(s.recordedAt) < recordInterval {
		return
	}
	s.expireJobs()
	if len(s.dirty) == 0 && !s.workersDirty && !s.marksWaiting() && len(s.expired) == 0 {
		return
	}
	s.generation++
	s.recording = true
	r := &Record{Generation: s.generation}
	n := min(len(s.dirty), recordRows)
	for _, j := range s.dirty[:n] {
		j.dirty = false
		data, err := workload.EncodeProgress(j.progress)
		if err != nil {
			s.cfg.Log.Error().Err(err).Str("job", string(j.spec.ID)).Msg("pool: failed to encode the progress of a job; it is not recorded")
			continue
		}
		if j.progress.State.Final() && j.recorded == 0 {
			j.recorded = s.generation
			s.ended = append(s.ended, j)
		}
		r.Progress = append(r.Progress, JobProgress{ID: j.spec.ID, Data: data})
	}
	s.dirty = append([]*job(nil), s.dirty[n:]...)
	if len(s.dirty) > 0 {
		// The run ends of the jobs that do not fit into the record are recorded with a later generation.
		s.postponeMarks()
	}
	if s.workersDirty {
		s.workersDirty = false
		r.Workers = s.recordWorkers()
	}
	if len(r.Progress) < recordRows {
		n := min(len(s.expired), recordRows-len(r.Progress))
		r.Expired = s.expired[:n]
		s.expired = s.expired[n:]
	}
	s.emit(r)
}

// hasUnrecordedEnds reports whether run ends, also ones that changed no job, wait to be acknowledged.
func (s *Scheduler) marksWaiting() bool {
	for _, w := range s.order {
		if len(w.unrecorded) > 0 {
			return true
		}
	}
	return false
}

func (s *Scheduler) postponeMarks() {
	for _, w := range s.order {
		for i := range w.unrecorded {
			if w.unrecorded[i].generation == s.generation {
				w.unrecorded[i].generation++
			}
		}
	}
}

// recordWorkers lists the workers that may be sent requests once the record is in the store.
func (s *Scheduler) recordWorkers() []RecordedWorker {
	list := make([]RecordedWorker, 0, len(s.order))
	for _, w := range s.order {
		if w.registered == 0 {
			w.registered = s.generation
		}
		recorded := RecordedWorker{ID: w.vm.ID}
		switch {
		case w.unanswered:
			recorded.Lapse = w.lapse
			w.silent, w.answering = true, 0
		case w.silent && w.answering == 0:
			w.answering = s.generation
		}
		list = append(list, recorded)
	}
	for id, p := range s.predecessors {
		if s.workers[id] == nil {
			list = append(list, RecordedWorker{ID: id, Lapse: p.until})
		}
	}
	return list
}

func (s *Scheduler) recordDone(generation uint64) {
	s.recording = false
	s.recordedAt = s.now
	s.recorded = generation
	for _, w := range s.order {
		w.markRecorded(generation)
		if w.silent && w.answering != 0 && w.answering <= generation {
			w.silent = false
		}
	}
	for _, j := range s.ended {
		if j.recorded != 0 && j.recorded <= generation {
			j.visible = j.progress.State
		}
	}
}

func (w *worker) markRecorded(generation uint64) {
	n := 0
	for n < len(w.unrecorded) && w.unrecorded[n].generation <= generation {
		w.acknowledge = w.unrecorded[n].number
		n++
	}
	w.unrecorded = w.unrecorded[n:]
}

// expireJobs removes the jobs that ended more than endedJobRetention ago.
func (s *Scheduler) expireJobs() {
	for len(s.ended) > 0 {
		j := s.ended[0]
		if s.now.Sub(j.progress.Ended) < statusTime+time.Second || (j.recorded == 0 && !j.visible.Final()) {
			return
		}
		s.ended = s.ended[1:]
		delete(s.jobs, j.spec.ID)
		s.expired = append(s.expired, j.spec.ID)
	}
}
