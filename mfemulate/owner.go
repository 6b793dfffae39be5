package mfemulate

import (
	"errors"
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// owner is one host's ownership of the shard.
type owner struct {
	world          *World
	state          *mfsched.State
	machineControl *mfduty.State
	incarnations   mfduty.IncarnationTracker
	epoch          mothferry.Epoch
	// headVersion is the version of the shard's head row as this owner last wrote it.
	headVersion mothferry.Version
	journal     *mfjournal.Journal
	// allocation is the accounts' allocation, as computed at allocatedAt.
	allocation  mfshare.Allocation
	allocatedAt time.Time
	// A dead owner does nothing more; a frozen one defers its events until it continues.
	dead        bool
	frozen      bool
	partitioned bool
	// A stalled owner handles nothing; what comes meanwhile waits in the deferred queues.
	stalled                                  bool
	deferred, deferredCommits, deferredLists []func()
	// takenOverAt is the time of the takeover, lastCommitAt that of the last stored commit.
	takenOverAt, lastCommitAt time.Time
}

// TakeOver starts a new owner from the store's contents. The previous owner is not notified:
// its next commit fails.
func (w *World) TakeOver() {
	w.epoch++
	w.Stats.Takeovers++
	o := &owner{world: w, epoch: w.epoch, machineControl: mfduty.New(), takenOverAt: w.now}
	o.state = mfsched.New(w.Limits, w.epoch, w.now, w.priorLeaseEnd())
	o.state.Off, o.machineControl.Off = w.Off, w.Off
	w.owner = o
	progress := o.restore()
	o.step(mfsched.ConfigChanged{Queues: w.Queues, Accounts: w.Accounts})
	for _, id := range w.jobOrder {
		c := w.jobs[id]
		p, known := progress[id]
		if known && p.State.Final() {
			o.step(mfsched.JobFinished{Job: id, State: p.State})
		}
		if c.submissionDeleted {
			continue
		}
		e := mfsched.JobFound{Job: id, Submission: c.submission}
		if known {
			e.Progress = &p
		}
		o.step(e)
		if !c.cancelled.IsZero() {
			o.step(mfsched.CancelRequested{Job: id})
		}
	}
	o.step(mfsched.JobsLoaded{})
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if v := w.workers[id]; !v.ended && v.machine.listedWorker == id {
			o.step(mfsched.WorkerListed{Worker: v.listing})
		}
	}
	o.restoreWaves()
	o.tick()
	o.controlMachines()
}

// priorLeaseEnd returns when the leases that previous owners requested have expired, as far as a
// new owner knows.
func (w *World) priorLeaseEnd() time.Time {
	if !w.Late.Claims || w.headStoredAt.IsZero() {
		return w.now.Add(w.Limits.LeaseExpiryBound())
	}
	return w.headStoredAt.Add(w.Limits.LeaseExpiryBound())
}

// KillOwner ends the owner; a new one takes over after takeoverDelay.
func (w *World) KillOwner(takeoverDelay time.Duration) {
	w.owner.dead = true
	w.extendFault(w.now.Add(takeoverDelay))
	w.after(takeoverDelay, w.TakeOver)
}

// FreezeOwner suspends the owner for frozen while a new one takes over after takeoverDelay. It
// then continues with its old state.
func (w *World) FreezeOwner(takeoverDelay, frozen time.Duration) {
	o := w.owner
	o.frozen = true
	w.extendFault(w.now.Add(max(takeoverDelay, frozen)))
	w.after(takeoverDelay, w.TakeOver)
	w.after(frozen, func() {
		o.frozen = false
		deferred := o.deferred
		o.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

// PartitionOwner cuts the owner off from the store, but not from workers; a new one takes over
// after takeoverDelay.
func (w *World) PartitionOwner(takeoverDelay time.Duration) {
	w.owner.partitioned = true
	w.extendFault(w.now.Add(takeoverDelay))
	w.after(takeoverDelay, w.TakeOver)
}

// do runs f as the owner, or defers it while the owner is frozen or stalled.
func (o *owner) do(f func()) {
	switch {
	case o.dead:
	case o.frozen, o.stalled:
		o.deferred = append(o.deferred, f)
	default:
		f()
	}
}

func (o *owner) tick() {
	if !o.stalled {
		o.do(func() { o.step(mfsched.Tick{}) })
	}
	if !o.dead {
		o.world.after(tickInterval, o.tick)
	}
}

func (o *owner) step(e mfsched.Event) {
	for _, c := range o.state.Step(e, o.world.now) {
		o.execute(c)
	}
}

func (o *owner) execute(c mfsched.Command) {
	w := o.world
	switch v := c.(type) {
	case mfsched.Commit:
		w.Stats.Commits++
		rows := o.journal.Write(v.Progress)
		w.after(commitDelay+w.delay(w.Late.Commit, w.Late.CommitBy), func() { o.commit(v, rows) })
	case mfsched.Start:
		w.Stats.Starts++
		var clock mothferry.WorkerClock
		o.sendOrder(v.At.Worker, func(k *worker) error { clock = k.clock(); return k.start(v.Order) }, func(sent time.Time, r mfsched.OrderResult, refusal mothferry.OrderRefusal) {
			if r == mfsched.ResultRefused {
				w.Stats.Refused++
			}
			o.step(mfsched.StartAnswered{Worker: v.At.Worker, Sent: sent, Task: v.Order.Task, Run: v.Order.Run, Result: r, Refusal: refusal, Clock: clock})
		})
	case mfsched.Stop:
		w.Stats.Stops++
		o.sendOrder(v.At.Worker, func(k *worker) error { return k.stop(v.Task, v.Run, o.epoch) }, func(sent time.Time, r mfsched.OrderResult, _ mothferry.OrderRefusal) {
			o.step(mfsched.StopAnswered{Worker: v.At.Worker, Sent: sent, Task: v.Task, Run: v.Run, Result: r})
		})
	case mfsched.Decision:
		w.trace(o.epoch, v)
		if w.OnDecision != nil {
			w.OnDecision(w.Now(), v)
		}
	case mfsched.DeleteSubmissions:
		w.after(commitDelay, func() { w.deleteSubmissions(v.Jobs) })
	case mfsched.Poll:
		w.Stats.Polls++
		o.sendPoll(v)
	}
}

// deleteSubmissions deletes the submissions of jobs. The deletion is unconditional, so it also
// takes effect when the sender no longer owns the shard.
func (w *World) deleteSubmissions(jobs []mothferry.JobID) {
	for _, id := range jobs {
		if !w.committed[id].State.Final() {
			w.violation("submission of job %s is deleted, its end is not stored", id)
		}
		w.jobs[id].submissionDeleted = true
	}
}

// recordState records the stored state of a job, as callers can read it.
func (w *World) recordState(id mothferry.JobID, state mfjob.State) {
	c := w.jobs[id]
	if c.state.Final() {
		if c.state != state {
			w.violation("job %s was %s and is stored as %s", id, c.state, state)
		}
		return
	}
	c.state = state
	if !state.Final() {
		return
	}
	c.completed = w.now
	if state == mfjob.StateFailed {
		w.checkFailed(c)
	}
	if state != mfjob.StateCompleted {
		return
	}
	for k := range c.submission.Occurrences() {
		for i, s := range c.submission.Steps {
			for x := range s.Count {
				if !c.done[mothferry.TaskName{Job: id, Occurrence: k, Step: i, Index: x}] {
					w.violation("job %s is stored as completed, task %d.%d.%d is not done", id, k, i, x)
					return
				}
			}
		}
	}
}

// sendOrder sends an order to a worker over a network that loses and delays calls.
func (o *owner) sendOrder(id mothferry.WorkerID, execute func(*worker) error, answered func(time.Time, mfsched.OrderResult, mothferry.OrderRefusal)) {
	w := o.world
	if w.Late.enabled() {
		o.sendOrderLate(id, execute, answered)
		return
	}
	sent := w.now
	unknown := func() { o.do(func() { answered(sent, mfsched.ResultUnknown, "") }) }
	switch {
	case w.chance(w.Faults.LoseOrder):
		w.after(callTimeout, unknown)
		return
	case w.chance(w.Faults.LateOrder):
		w.after(callTimeout, unknown)
		k, limits := w.workers[id], maps.Clone(w.limits)
		w.after(time.Duration(w.Random.Float64()*float64(w.Faults.LateBy)), func() {
			if k != nil && !k.ended {
				w.lateOrder, w.lateOrderLimits = true, limits
				_ = execute(k)
				w.lateOrder, w.lateOrderLimits = false, nil
			}
		})
		return
	}
	lost := w.chance(w.Faults.LoseAnswer)
	w.after(orderDelay, func() {
		k := w.workers[id]
		if k == nil || k.unreachable || lost {
			if k != nil && !k.ended && !k.unreachable {
				_ = execute(k)
			}
			w.after(callTimeout, unknown)
			return
		}
		r, refusal := mfsched.ResultIncarnationEnded, mothferry.OrderRefusal("")
		if !k.ended {
			r, refusal = resultOf(execute(k))
		}
		w.after(orderDelay, func() { o.do(func() { answered(sent, r, refusal) }) })
	})
}

func resultOf(err error) (mfsched.OrderResult, mothferry.OrderRefusal) {
	var refused *mothferry.ErrOrderRefused
	if errors.As(err, &refused) {
		return mfsched.ResultRefused, refused.Refusal
	}
	return mfsched.ResultDone, ""
}

func (o *owner) sendPoll(v mfsched.Poll) {
	w := o.world
	if w.Late.enabled() {
		o.sendPollLate(v)
		return
	}
	sent := w.now
	finished := false
	end := func(e mfsched.Event) {
		if !finished {
			finished = true
			o.do(func() { o.step(e) })
		}
	}
	id := v.At.Worker
	w.after(v.Order.Wait+callTimeout, func() {
		end(mfsched.PollFailed{Worker: id, Number: v.Number, Sent: sent, Result: mfsched.ResultUnknown})
	})
	if w.chance(w.Faults.LoseOrder) {
		return
	}
	if w.chance(w.Faults.LateOrder) {
		k := w.workers[id]
		w.after(time.Duration(w.Random.Float64()*float64(w.Faults.LateBy)), func() {
			if k != nil && !k.ended && !k.unreachable {
				_ = k.poll(v.Order, func(mothferry.PollReport) {}, func() {})
			}
		})
		return
	}
	lost := w.chance(w.Faults.LoseAnswer)
	w.after(orderDelay, func() {
		k := w.workers[id]
		switch {
		case k == nil || k.unreachable:
		case k.ended:
			end(mfsched.PollFailed{Worker: id, Number: v.Number, Sent: sent, Result: mfsched.ResultIncarnationEnded})
		default:
			err := k.poll(v.Order, func(r mothferry.PollReport) {
				if !lost {
					w.after(orderDelay, func() { end(mfsched.PollAnswered{Worker: id, Number: v.Number, Sent: sent, Report: r}) })
				}
			}, func() {
				end(mfsched.PollFailed{Worker: id, Number: v.Number, Sent: sent, Result: mfsched.ResultUnknown})
			})
			if err != nil {
				end(mfsched.PollFailed{Worker: id, Number: v.Number, Sent: sent, Result: mfsched.ResultRefused})
			}
		}
	})
}
