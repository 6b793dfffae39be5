package mfowner

import (
	"mothferry"
	"mothferry/mffeed"
	"mothferry/mfjob"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

func (s *session) followInbox() {
	f := &mffeed.Follower{
		Store: s.owner.Store, Clock: s.owner.Clock, Random: s.owner.Random, Log: s.owner.Log,
		Table: mfrecord.TableInbox, Parts: mfrecord.InboxParts(), Wait: inboxLongPoll, MinInterval: inboxBatchInterval, Apply: s.applyInbox,
	}
	_ = f.Run(s.ctx)
}

// applyInbox passes jobs and cancellations to the scheduler, which ignores those it already
// has.
func (s *session) applyInbox(rows []mothferry.Row, whole bool) {
	if !s.waitClosed(s.progressLoaded) {
		return
	}
	if whole {
		defer s.jobsLoadedOnce.Do(func() {
			s.owner.Log.WithField("rows", len(rows)).Info("inbox read")
			s.post(mfsched.JobsLoaded{})
			// A row that comes for one of these jobs from now on is of a job handed in again. The
			// scheduler knows all that are not deleted.
			s.progress = nil
			close(s.jobsLoaded)
		})
	}
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		if id, ok := mfrecord.CancelOf(r.Key); ok {
			s.post(mfsched.CancelRequested{Job: id})
			continue
		}
		if id, account, ok := mfrecord.EarlyCancelOf(r.Key); ok {
			s.post(mfsched.EarlyCancelFound{EarlyCancel: mfsched.EarlyCancel{Job: id, Account: account}, Version: r.Version})
			continue
		}
		id, ok := mfrecord.JobOf(r.Key)
		if !ok {
			continue
		}
		submission, err := mfjob.DecodeSubmission(r.Value)
		if p := s.progress[id]; p != nil && p.State.Final() {
			s.post(mfsched.JobFinished{Job: id, State: p.State, Submission: submission})
			continue
		}
		if err != nil {
			s.owner.Log.WithError(err).WithField("job", id).Error("failed to decode stored submission")
			continue
		}
		s.post(mfsched.JobFound{Job: id, Submission: submission, Progress: s.progress[id]})
	}
}

// waitClosed reports whether the channel was closed before the session ended.
func (s *session) waitClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *session) followWorkers() {
	_ = s.owner.Listing.Run(s.ctx, s.applyWorkers)
}

// applyWorkers waits until all jobs are loaded: otherwise a worker's run of a job that is not
// loaded yet would be taken for an orphaned run.
func (s *session) applyWorkers(changed []mfsched.Worker, removed []mothferry.WorkerID, _ bool) {
	if !s.waitClosed(s.jobsLoaded) {
		return
	}
	for _, w := range changed {
		s.post(mfsched.WorkerListed{Worker: w})
	}
	for _, id := range removed {
		s.post(mfsched.WorkerUnlisted{Worker: id})
	}
}
