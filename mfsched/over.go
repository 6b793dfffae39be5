package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// What is kept of a job that is over: its final state, as long as it can be
// asked for. What was handed in goes much earlier. A successor reads all that is
// stored before it starts anything, and a weak host takes seconds for the jobs of minutes.

// Figures for jobs that are over.
const (
	// dropAfter is how long what was handed in outlives the job's end: longer
	// than a caller's request takes, which looks there if it saw no progress.
	dropAfter = 4 * time.Second
	// dropEvery gathers jobs for one call if there are fewer than maxDrop.
	dropEvery = 2 * time.Second
	// maxDrop bounds the jobs of one call: a transaction takes 100 entries.
	maxDrop = 90
)

// droppable is a job whose end is stored, with since when.
type droppable struct {
	job   *job
	since time.Time
}

// jobOver takes in a job whose end an earlier owner stored.
func (s *State) jobOver(e JobOver, now time.Time) {
	if known, ok := s.jobs[e.Job]; ok {
		s.handedInAgain(known, e.Submission, now)
		return
	}
	j := &job{id: e.Job, state: e.State, over: now, stored: true}
	s.jobs[e.Job] = j
	s.ended = append(s.ended, j)
	s.learn(j, e.Submission)
}

// learn keeps what was handed in for a job that an earlier owner ended: it tells what
// those of its runs take that are still ending.
func (s *State) learn(j *job, handedIn mfjob.Submission) {
	if len(j.submission.Steps) == 0 {
		j.submission, j.account = handedIn, s.accountOf(handedIn.Account)
	}
}

// handedInAgain handles a row in the inbox of a job that is known. If its end is
// stored the row is of no other use.
func (s *State) handedInAgain(j *job, handedIn mfjob.Submission, now time.Time) {
	if j.stored {
		s.learn(j, handedIn)
		s.dropping = append(s.dropping, droppable{job: j, since: now})
	}
}

// endsStored takes in that the commit under way is stored, with the ends in it.
func (s *State) endsStored(now time.Time) {
	for _, j := range s.concluding {
		j.stored = true
		s.dropping = append(s.dropping, droppable{job: j, since: now})
	}
	s.concluding = nil
}

// drop asks to delete what was handed in for jobs that are over, and forgets
// their tasks.
func (s *State) drop(now time.Time) {
	due := 0
	for due < len(s.dropping) && due < maxDrop && now.Sub(s.dropping[due].since) >= dropAfter {
		due++
	}
	if due == 0 || due < maxDrop && now.Sub(s.dropping[0].since) < dropAfter+dropEvery {
		return
	}
	var gone []mothferry.JobID
	for _, d := range s.dropping[:due] {
		gone = append(gone, d.job.id)
		if !stillRuns(d.job) {
			d.job.occurrences = nil
			d.job.submission = mfjob.Submission{Queue: d.job.submission.Queue, Account: d.job.submission.Account}
		}
	}
	s.dropping = s.dropping[due:]
	s.emit(Drop{Jobs: gone})
}

// forget asks to delete the rows of jobs whose final state need not be told any more.
func (s *State) forget(now time.Time) {
	var gone []mothferry.JobID
	for len(s.ended) > 0 && len(gone) < maxForget {
		j := s.ended[0]
		if !j.stored || now.Sub(j.over) < s.Limits.KeepFinal || stillRuns(j) {
			break
		}
		s.ended = s.ended[1:]
		s.undirty(j)
		gone = append(gone, j.id)
	}
	if len(gone) > 0 {
		s.emit(Forget{Jobs: gone})
	}
}

// forgotten drops jobs whose rows are deleted. The others stay known, as they would else be found
// anew when the inbox is read again.
func (s *State) forgotten(e JobsForgotten, now time.Time) {
	for _, id := range e.Jobs {
		j, known := s.jobs[id]
		switch {
		case !known:
		case e.Deleted:
			delete(s.jobs, id)
			s.undirty(j)
		default:
			j.over = now
			s.ended = append(s.ended, j)
		}
	}
}

func stillRuns(j *job) bool {
	for t := range j.tasks() {
		if t.assigned() {
			return true
		}
	}
	return false
}

// undirty takes a job out of those whose change has to be stored.
func (s *State) undirty(j *job) {
	if j.dirty {
		j.dirty = false
		s.dirty = slices.DeleteFunc(s.dirty, func(o *job) bool { return o == j })
	}
}
