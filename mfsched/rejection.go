package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// A store may reject progress of which the scheduler expects that it fits. Its job must not stop
// others: it is committed again alone, as it may have shared a row with the job at fault, and fails if
// that is rejected too. A failed job takes a few bytes.

// maxRejections is how many rejected commits a job survives.
const maxRejections = 1

// rejectedJobs returns the jobs with some ids, and allows those that were committed alone to be
// committed with others again if they are not among them.
func (s *State) rejectedJobs(ids []mothferry.JobID) map[*job]bool {
	rejected := map[*job]bool{}
	for _, id := range ids {
		if j, ok := s.jobs[id]; ok {
			rejected[j] = true
		}
	}
	if j := s.committedAlone; j != nil && !rejected[j] {
		j.alone, j.rejections = false, 0
	}
	return rejected
}

// commitRejected commits jobs again that the store rejected, or fails them.
func (s *State) commitRejected(ids []mothferry.JobID, now time.Time) {
	for _, id := range slices.Backward(ids) {
		j, ok := s.jobs[id]
		if !ok {
			continue
		}
		j.rejections++
		j.rowStored, j.alone = false, true
		s.emit(Decision{Message: "progress was rejected by the store", Job: j.id, Fields: map[string]any{
			"queue": j.submission.Queue, "rejections": j.rejections, "size": s.storedSize(j), "state": j.state,
		}})
		if j.rejections > maxRejections && !j.state.Final() {
			s.finishJob(j, mfjob.StateFailed, now)
		}
		s.clearDirty(j)
		if j.rejections > 2*maxRejections {
			// Not even its final state is taken: there is nothing left to store.
			continue
		}
		j.dirty = true
		s.dirty = slices.Insert(s.dirty, 0, j)
	}
}
