package mfsched

import (
	"cmp"
	"slices"
	"time"
)

// beginDueOccurrences lays out what is due of all jobs, in the order of their ids, so that the same
// events always produce the same commands.
func (s *State) beginDueOccurrences(now time.Time) {
	var jobs []*job
	for _, j := range s.upcoming {
		if j.begun < j.submission.DueOccurrences(now) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	for _, j := range jobs {
		s.beginDue(j, now)
	}
}

// beginDue lays out the occurrences of a job that are due, as many as may be open at the same time.
// The others wait until open ones are done.
func (s *State) beginDue(j *job, now time.Time) {
	due := j.submission.DueOccurrences(now)
	for j.begun < due && j.submission.MayOpen(len(j.occurrences)) {
		j.occurrences = append(j.occurrences, newOccurrence(j, j.begun, now))
		j.begun++
	}
	if j.begun < due {
		s.logHeldBack(j, due)
	}
	if j.begun == j.submission.Occurrences() {
		delete(s.upcoming, j.id)
	}
}

// logHeldBack logs once for each job that due occurrences wait for open ones.
func (s *State) logHeldBack(j *job, due int) {
	if j.heldBack {
		return
	}
	j.heldBack = true
	s.emit(Decision{Message: "due occurrences wait for open ones", Job: j.id, Fields: map[string]any{
		"queue": j.submission.Queue, "open": len(j.occurrences), "due": due - j.begun,
	}})
}

// occurrence returns an open occurrence by its number, or nil.
func (j *job) occurrence(number int) *occurrence {
	i, found := slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
	if !found {
		return nil
	}
	return j.occurrences[i]
}

// dropDoneOccurrences removes the occurrences of which all steps are done.
func (j *job) dropDoneOccurrences() {
	j.occurrences = slices.DeleteFunc(j.occurrences, (*occurrence).done)
}

func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.steps, func(p *step) bool { return p.remaining > 0 })
}
