package mfowner

import (
	"errors"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

// orderResult classifies the error of an order to a worker.
func orderResult(err error) (mfsched.OrderResult, mothferry.OrderRefusal) {
	var refused *mothferry.ErrOrderRefused
	var other *mothferry.ErrIncarnationEnded
	switch {
	case err == nil:
		return mfsched.ResultDone, ""
	case errors.As(err, &refused):
		return mfsched.ResultRefused, refused.Refusal
	case errors.As(err, &other):
		return mfsched.ResultIncarnationEnded, ""
	default:
		return mfsched.ResultUnknown, ""
	}
}

func (s *session) start(c mfsched.Start) {
	sent := s.owner.Clock.Now()
	var route mothferry.OrderTrace
	clock, err := s.owner.Workers.Start(mothferry.WithOrderTrace(s.ctx, &route), c.At, c.Order)
	r, refusal := orderResult(err)
	s.post(mfsched.StartAnswered{Worker: c.At.Worker, Sent: sent, Relay: route.Relay, Task: c.Order.Task, Run: c.Order.Run, Result: r, Refusal: refusal, Clock: clock})
}

func (s *session) stop(c mfsched.Stop) {
	sent := s.owner.Clock.Now()
	_, err := s.owner.Workers.Stop(s.ctx, c.At, c.Task, c.Run, s.state.Epoch)
	r, _ := orderResult(err)
	s.post(mfsched.StopAnswered{Worker: c.At.Worker, Sent: sent, Task: c.Task, Run: c.Run, Result: r})
}

func (s *session) poll(c mfsched.Poll) {
	sent := s.owner.Clock.Now()
	report, err := s.owner.Workers.Poll(s.ctx, c.At, c.Order)
	if err != nil {
		r, _ := orderResult(err)
		s.post(mfsched.PollFailed{Worker: c.At.Worker, Number: c.Number, Sent: sent, Result: r})
		return
	}
	s.post(mfsched.PollAnswered{Worker: c.At.Worker, Number: c.Number, Sent: sent, Report: report})
}

// pace slows a run down or lets it run at full speed again. An order without answer is not
// repeated: if it is still needed the scheduler issues another one after the next poll.
func (s *session) pace(c mfsched.Pace) {
	_, err := s.owner.Workers.Pace(s.ctx, c.At, c.Task, c.Run, c.Percent, s.state.Epoch)
	entry := s.owner.Log.WithField("job", c.Task.Job).WithField("worker", c.At.Worker).WithField("percent", c.Percent)
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("task pace set")
}

func (s *session) requestAdvice(c mfsched.RequestAdvice) {
	answer := mfsched.AdviceAnswered{Number: c.Number, Asked: c.Workers}
	sent := s.owner.Clock.Now()
	tickets, valid, err := s.owner.Adviser.Advise(s.ctx, c.Step.Job, c.Step.Occurrence, c.Step.Step, c.Workers)
	entry := s.owner.Log.WithFields(log.Fields{
		"job": c.Step.Job, "occurrence": c.Step.Occurrence, "step": c.Step.Step, "call": c.Number, "asked": len(c.Workers),
		"waited_ms": c.Waited.Milliseconds(), "took_ms": s.owner.Clock.Now().Sub(sent).Milliseconds(),
	})
	if err != nil {
		var declined *mothferry.ErrDeclined
		answer.Declined = errors.As(err, &declined)
		entry.WithError(err).Warn("adviser did not answer")
	} else {
		answer.Tickets, answer.Valid = tickets, valid
		entry.WithField("good", len(tickets)).Info("adviser answered")
	}
	s.post(answer)
}

// deleteSubmissions deletes the submissions of finished jobs. If that fails the rows stay
// until deleteJobs.
func (s *session) deleteSubmissions(c mfsched.DeleteSubmissions) {
	var rows []mothferry.Write
	for _, id := range c.Jobs {
		rows = append(rows, mothferry.Write{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.JobKey(id), Delete: true})
	}
	if _, err := s.owner.Store.Commit(s.ctx, mothferry.Txn{Writes: rows, SpansParts: true}); err != nil {
		s.owner.Log.WithError(err).WithField("jobs", len(c.Jobs)).Warn("failed to delete submissions of finished jobs")
		return
	}
	s.owner.Log.WithField("jobs", len(c.Jobs)).Info("submissions of finished jobs deleted")
}

// deleteJobs deletes the rows of jobs that finished long ago. Submissions go first, since
// progress without a submission is of no use to a new owner.
func (s *session) deleteJobs(c mfsched.DeleteJobs) {
	var inbox []mothferry.Write
	for _, id := range c.Jobs {
		inbox = append(inbox,
			mothferry.Write{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.JobKey(id), Delete: true},
			mothferry.Write{Table: mfrecord.TableInbox, Part: mfrecord.InboxPart(id), Key: mfrecord.CancelKey(id), Delete: true})
	}
	if _, err := s.owner.Store.Commit(s.ctx, mothferry.Txn{Writes: inbox, SpansParts: true}); err != nil {
		s.owner.Log.WithError(err).WithField("jobs", len(c.Jobs)).Warn("failed to delete finished jobs")
		s.post(mfsched.DeleteJobsAnswered{Jobs: c.Jobs})
		return
	}
	s.runInLoop(func() {
		s.progressToDelete = append(s.progressToDelete, c.Jobs...)
		s.step(mfsched.DeleteJobsAnswered{Jobs: c.Jobs, Deleted: true})
	})
	s.owner.Log.WithField("jobs", len(c.Jobs)).Info("finished jobs deleted")
}

// deleteEarlyCancels deletes early cancellations that have not been written again.
func (s *session) deleteEarlyCancels(c mfsched.DeleteEarlyCancels) {
	txn := mothferry.Txn{SpansParts: true}
	for e, version := range c.Rows {
		part, key := mfrecord.InboxPart(e.Job), mfrecord.EarlyCancelKey(e.Job, e.Account)
		txn.Checks = append(txn.Checks, mothferry.Check{Table: mfrecord.TableInbox, Part: part, Key: key, Version: version})
		txn.Writes = append(txn.Writes, mothferry.Write{Table: mfrecord.TableInbox, Part: part, Key: key, Delete: true})
	}
	_, err := s.owner.Store.Commit(s.ctx, txn)
	entry := s.owner.Log.WithField("rows", len(c.Rows))
	if err != nil {
		entry.WithError(err).Warn("failed to delete early cancellations")
	} else {
		entry.Info("early cancellations deleted")
	}
	s.post(mfsched.EarlyCancelsDeleted{Rows: c.Rows, Deleted: err == nil})
}

// progressDeletes returns up to limit writes that delete the progress of jobs whose other rows
// are deleted. They are part of the owner's commits, as a separate delete by a deposed owner
// could take effect after the new owner has read the inbox.
func (s *session) progressDeletes(limit int) []mothferry.Write {
	var rows []mothferry.Write
	count := min(max(limit, 0), len(s.progressToDelete))
	for _, id := range s.progressToDelete[:count] {
		rows = append(rows, mothferry.Write{Table: mfrecord.TableProgress, Part: mfrecord.PartShard, Key: mothferry.Key(id), Delete: true})
	}
	s.progressToDelete = s.progressToDelete[count:]
	return rows
}
