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
	// submissionRetention is how long what was handed in outlives the job's end: longer
	// than a caller's request takes, which looks there if it saw no progress.
	submissionRetention = 4 * time.Second
	// deleteSubmissionsInterval gathers jobs for one call if there are fewer than maxDrop.
	deleteSubmissionsInterval = 2 * time.Second
	// maxDeleteSubmissions bounds the jobs of one call: a transaction takes 100 entries.
	maxDeleteSubmissions = 90
)

// deletableSubmission is a job whose end is stored, with since when.
type deletableSubmission struct {
	job   *job
	since time.Time
}

// jobFinished takes in a job whose end an earlier owner stored.
func (s *State) jobFinished(e JobFinished, now time.Time) {
	if known, ok := s.jobs[e.Job]; ok {
		s.resubmitted(known, e.Submission, now)
		return
	}
	j := &job{id: e.Job, state: e.State, finishedAt: now, finalStored: true}
	s.jobs[e.Job] = j
	s.finishedJobs = append(s.finishedJobs, j)
	s.keepSubmission(j, e.Submission)
}

// keepSubmission keeps what was handed in for a job that an earlier owner ended: it tells what
// those of its runs take that are still ending.
func (s *State) keepSubmission(j *job, handedIn mfjob.Submission) {
	if len(j.submission.Steps) == 0 {
		j.submission, j.account = handedIn, s.accountOf(handedIn.Account)
	}
}

// resubmitted handles a row in the inbox of a job that is known. If its end is
// stored the row is of no other use.
func (s *State) resubmitted(j *job, handedIn mfjob.Submission, now time.Time) {
	if j.finalStored {
		s.keepSubmission(j, handedIn)
		s.submissionsToDelete = append(s.submissionsToDelete, deletableSubmission{job: j, since: now})
	}
}

// finalStatesStored takes in that the commit under way is stored, with the ends in it.
func (s *State) finalStatesStored(now time.Time) {
	for _, j := range s.finishedInCommit {
		j.finalStored = true
		s.submissionsToDelete = append(s.submissionsToDelete, deletableSubmission{job: j, since: now})
	}
	s.finishedInCommit = nil
}

// deleteSubmissions asks to delete what was handed in for jobs that are over, and forgets
// their tasks.
func (s *State) deleteSubmissions(now time.Time) {
	due := 0
	for due < len(s.submissionsToDelete) && due < maxDeleteSubmissions && now.Sub(s.submissionsToDelete[due].since) >= submissionRetention {
		due++
	}
	if due == 0 || due < maxDeleteSubmissions && now.Sub(s.submissionsToDelete[0].since) < submissionRetention+deleteSubmissionsInterval {
		return
	}
	var gone []mothferry.JobID
	for _, d := range s.submissionsToDelete[:due] {
		gone = append(gone, d.job.id)
		if !hasAssignedTasks(d.job) {
			d.job.occurrences = nil
			d.job.submission = mfjob.Submission{Queue: d.job.submission.Queue, Account: d.job.submission.Account}
		}
	}
	s.submissionsToDelete = s.submissionsToDelete[due:]
	s.emit(DeleteSubmissions{Jobs: gone})
}

// deleteJobs asks to delete the rows of jobs whose final state need not be told any more.
func (s *State) deleteJobs(now time.Time) {
	var gone []mothferry.JobID
	for len(s.finishedJobs) > 0 && len(gone) < maxDeleteJobs {
		j := s.finishedJobs[0]
		if !j.finalStored || now.Sub(j.finishedAt) < s.Limits.FinishedJobRetention || hasAssignedTasks(j) {
			break
		}
		s.finishedJobs = s.finishedJobs[1:]
		s.clearDirty(j)
		gone = append(gone, j.id)
	}
	if len(gone) > 0 {
		s.emit(DeleteJobs{Jobs: gone})
	}
}

// jobsDeleted drops jobs whose rows are deleted. The others stay known, as they would else be found
// anew when the inbox is read again.
func (s *State) jobsDeleted(e DeleteJobsAnswered, now time.Time) {
	for _, id := range e.Jobs {
		j, known := s.jobs[id]
		switch {
		case !known:
		case e.Deleted:
			delete(s.jobs, id)
			s.clearDirty(j)
		default:
			j.finishedAt = now
			s.finishedJobs = append(s.finishedJobs, j)
		}
	}
}

func hasAssignedTasks(j *job) bool {
	for t := range j.tasks() {
		if t.assigned() {
			return true
		}
	}
	return false
}

// clearDirty takes a job out of those whose change has to be stored.
func (s *State) clearDirty(j *job) {
	if j.dirty {
		j.dirty = false
		s.dirty = slices.DeleteFunc(s.dirty, func(o *job) bool { return o == j })
	}
}
