package mfsched

import (
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// Only the final state of a finished job is kept for as long as it can be queried. Its
// submission is deleted much earlier: a new owner reads all that is stored before it starts
// anything, and a slow host takes seconds to read the jobs of a few minutes.

const (
	// submissionRetention is how long a submission is kept after the job's final state is
	// stored. It exceeds the duration of a caller's request, which reads the submission if it
	// found no progress.
	submissionRetention = 4 * time.Second
	// deleteSubmissionsInterval is how long a batch smaller than maxDeleteSubmissions is held
	// back to gather more jobs for one call.
	deleteSubmissionsInterval = 2 * time.Second
	// maxDeleteSubmissions bounds the jobs of one call: a transaction takes 100 entries.
	maxDeleteSubmissions = 90
)

// deletableSubmission is a job whose final state is stored, and since when its submission can
// be deleted.
type deletableSubmission struct {
	job   *job
	since time.Time
}

// jobFinished records a job whose final state a previous owner stored.
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

// keepSubmission keeps the submission of a job that a previous owner finished: it tells what
// resources its runs take that are still ending.
func (s *State) keepSubmission(j *job, submission mfjob.Submission) {
	if len(j.submission.Steps) == 0 {
		j.submission, j.account = submission, s.accountOf(submission.Account)
	}
}

// resubmitted handles an inbox row of a job that is already known. If the job's final state is
// stored, the row is no longer needed.
func (s *State) resubmitted(j *job, submission mfjob.Submission, now time.Time) {
	if j.finalStored {
		s.keepSubmission(j, submission)
		s.submissionsToDelete = append(s.submissionsToDelete, deletableSubmission{job: j, since: now})
	}
}

// finalStatesStored records that the final states in the commit in flight are stored.
func (s *State) finalStatesStored(now time.Time) {
	for _, j := range s.finishedInCommit {
		j.finalStored = true
		if s.OnTaskStage != nil {
			s.OnTaskStage(JobFinishing, now.Sub(j.finishedAt))
		}
		s.submissionsToDelete = append(s.submissionsToDelete, deletableSubmission{job: j, since: now})
	}
	s.finishedInCommit = nil
}

// deleteSubmissions asks to delete the submissions of finished jobs, and frees their tasks.
func (s *State) deleteSubmissions(now time.Time) {
	count := 0
	for count < len(s.submissionsToDelete) && count < maxDeleteSubmissions && now.Sub(s.submissionsToDelete[count].since) >= submissionRetention {
		count++
	}
	if count == 0 || count < maxDeleteSubmissions && now.Sub(s.submissionsToDelete[0].since) < submissionRetention+deleteSubmissionsInterval {
		return
	}
	var ids []mothferry.JobID
	for _, d := range s.submissionsToDelete[:count] {
		ids = append(ids, d.job.id)
		if !hasAssignedTasks(d.job) {
			d.job.occurrences = nil
			d.job.submission = mfjob.Submission{Queue: d.job.submission.Queue, Account: d.job.submission.Account}
		}
	}
	s.submissionsToDelete = s.submissionsToDelete[count:]
	s.emit(DeleteSubmissions{Jobs: ids})
}

// deleteJobs asks to delete the rows of jobs whose final state need not be kept any longer.
func (s *State) deleteJobs(now time.Time) {
	var ids []mothferry.JobID
	for len(s.finishedJobs) > 0 && len(ids) < maxDeleteJobs {
		j := s.finishedJobs[0]
		if !j.finalStored || now.Sub(j.finishedAt) < s.Limits.FinishedJobRetention || hasAssignedTasks(j) {
			break
		}
		s.finishedJobs = s.finishedJobs[1:]
		s.clearDirty(j)
		ids = append(ids, j.id)
	}
	if len(ids) > 0 {
		s.emit(DeleteJobs{Jobs: ids})
	}
}

// jobsDeleted removes the jobs whose rows are deleted. The others stay known: they would
// otherwise count as new jobs when the inbox is read again.
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

// clearDirty removes a job from those whose change has to be stored.
func (s *State) clearDirty(j *job) {
	if j.dirty {
		j.dirty = false
		s.dirty = slices.DeleteFunc(s.dirty, func(o *job) bool { return o == j })
	}
}
