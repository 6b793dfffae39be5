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
	world *World
	state *mfsched.State
	duty  *mfduty.State
	lives mfduty.IncarnationTracker
	epoch mothferry.Epoch
	// version is that of the shard's head when this owner last wrote it.
	version mothferry.Version
	journal *mfjournal.Journal
	// shares is how accounts stood when that was last worked out.
	shares   mfshare.Allocation
	sharesAt time.Time
	// dead owners do nothing more; frozen ones keep what reaches them for later.
	dead   bool
	frozen bool
	cut    bool
	kept   []func()
	// taken is when it took over, confirmed when its last stored commit was.
	taken, confirmed time.Time
}

// TakeOver makes a new owner from what the store holds. The old one is not
// told: it finds out when it commits.
func (w *World) TakeOver() {
	w.epoch++
	w.Figures.Takeovers++
	o := &owner{world: w, epoch: w.epoch, state: mfsched.New(w.Limits, w.epoch, w.now, w.now.Add(w.Limits.LeaseExpiryBound())), duty: mfduty.New(), taken: w.now}
	o.state.Off, o.duty.Off = w.Off, w.Off
	w.owner = o
	progress := o.inherit()
	o.step(mfsched.ConfigChanged{Queues: w.Queues, Accounts: w.Accounts})
	for _, id := range w.order {
		c := w.jobs[id]
		p, known := progress[id]
		if known && p.State.Final() {
			o.step(mfsched.JobFinished{Job: id, State: p.State})
		}
		if c.dropped {
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
		if v := w.workers[id]; !v.over && v.machine.listed == id {
			o.step(mfsched.WorkerListed{Worker: v.listing})
		}
	}
	o.askedUpkeep()
	o.tick()
	o.duties()
}

// Kill ends the owner at once; another one takes over a while later.
func (w *World) Kill(vacant time.Duration) {
	w.owner.dead = true
	w.faultUntil(w.now.Add(vacant))
	w.after(vacant, w.TakeOver)
}

// Freeze stops the owner for a time, while another one takes over. It goes on
// afterwards with what it knew.
func (w *World) Freeze(vacant, frozen time.Duration) {
	o := w.owner
	o.frozen = true
	w.faultUntil(w.now.Add(max(vacant, frozen)))
	w.after(vacant, w.TakeOver)
	w.after(frozen, func() {
		o.frozen = false
		kept := o.kept
		o.kept = nil
		for _, f := range kept {
			f()
		}
	})
}

// Cut parts the owner from the store, but not from workers; another one takes over.
func (w *World) Cut(vacant time.Duration) {
	w.owner.cut = true
	w.faultUntil(w.now.Add(vacant))
	w.after(vacant, w.TakeOver)
}

// do runs f as the owner, now or when it is no longer frozen.
func (o *owner) do(f func()) {
	switch {
	case o.dead:
	case o.frozen:
		o.kept = append(o.kept, f)
	default:
		f()
	}
}

func (o *owner) tick() {
	o.do(func() { o.step(mfsched.Tick{}) })
	if !o.dead {
		o.world.after(tickEvery, o.tick)
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
		w.Figures.Commits++
		rows := o.journal.Write(v.Progress)
		w.after(commitDelay, func() { o.commit(v, rows) })
	case mfsched.Start:
		w.Figures.Starts++
		sent := w.now
		var clock mothferry.WorkerClock
		o.order(v.At.Worker, func(k *worker) error { clock = k.clock(); return k.start(v.Order) }, func(r mfsched.OrderResult, why mothferry.OrderRefusal) {
			if r == mfsched.ResultRefused {
				w.Figures.Refused++
			}
			o.step(mfsched.StartAnswered{Worker: v.At.Worker, Sent: sent, Task: v.Order.Task, Run: v.Order.Run, Result: r, Refusal: why, Clock: clock})
		})
	case mfsched.Stop:
		w.Figures.Stops++
		sent := w.now
		o.order(v.At.Worker, func(k *worker) error { return k.stop(v.Task, v.Run, o.epoch) }, func(r mfsched.OrderResult, _ mothferry.OrderRefusal) {
			o.step(mfsched.StopAnswered{Worker: v.At.Worker, Sent: sent, Task: v.Task, Run: v.Run, Result: r})
		})
	case mfsched.Decision:
		if w.Watch != nil {
			w.Watch(w.Now(), v)
		}
	case mfsched.DeleteSubmissions:
		w.after(commitDelay, func() { w.drop(v.Jobs) })
	case mfsched.Poll:
		w.Figures.Looks++
		o.look(v)
	}
}

// drop deletes what was handed in for jobs. The owner need not be one any more: the
// deletion checks nothing.
func (w *World) drop(jobs []mothferry.JobID) {
	for _, id := range jobs {
		if !w.committed[id].State.Final() {
			w.broken("what was handed in for job %s is deleted, its end is not stored", id)
		}
		w.jobs[id].dropped = true
	}
}

// note takes in the state of a job that callers can read.
func (w *World) note(id mothferry.JobID, state mfjob.State) {
	c := w.jobs[id]
	if c.state.Final() {
		if c.state != state {
			w.broken("job %s was %s and is shown as %s", id, c.state, state)
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
	for i, s := range c.submission.Steps {
		for x := range s.Count {
			if !c.done[mothferry.TaskName{Job: id, Step: i, Index: x}] {
				w.broken("job %s is shown as completed, task %d.%d has not ended", id, i, x)
			}
		}
	}
}

// order sends an order over a network that loses and delays.
func (o *owner) order(id mothferry.WorkerID, carry func(*worker) error, answered func(mfsched.OrderResult, mothferry.OrderRefusal)) {
	w := o.world
	unknown := func() { o.do(func() { answered(mfsched.ResultUnknown, "") }) }
	switch {
	case w.chance(w.Faults.LoseOrder):
		w.after(callTimeout, unknown)
		return
	case w.chance(w.Faults.LateOrder):
		w.after(callTimeout, unknown)
		k, limits := w.workers[id], maps.Clone(w.limits)
		w.after(time.Duration(w.Random.Float64()*float64(w.Faults.LateBy)), func() {
			if k != nil && !k.over {
				w.late, w.lateLimits = true, limits
				_ = carry(k)
				w.late, w.lateLimits = false, nil
			}
		})
		return
	}
	lost := w.chance(w.Faults.LoseAnswer)
	w.after(orderDelay, func() {
		k := w.workers[id]
		if k == nil || k.silent || lost {
			if k != nil && !k.over && !k.silent {
				_ = carry(k)
			}
			w.after(callTimeout, unknown)
			return
		}
		r, why := mfsched.ResultIncarnationEnded, mothferry.OrderRefusal("")
		if !k.over {
			r, why = resultOf(carry(k))
		}
		w.after(orderDelay, func() { o.do(func() { answered(r, why) }) })
	})
}

func resultOf(err error) (mfsched.OrderResult, mothferry.OrderRefusal) {
	var refused *mothferry.ErrOrderRefused
	if errors.As(err, &refused) {
		return mfsched.ResultRefused, refused.Refusal
	}
	return mfsched.ResultDone, ""
}

func (o *owner) look(v mfsched.Poll) {
	w := o.world
	sent := w.now
	over := false
	end := func(e mfsched.Event) {
		if !over {
			over = true
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
			if k != nil && !k.over && !k.silent {
				_ = k.look(v.Order, func(mothferry.PollReport) {}, func() {})
			}
		})
		return
	}
	lost := w.chance(w.Faults.LoseAnswer)
	w.after(orderDelay, func() {
		k := w.workers[id]
		switch {
		case k == nil || k.silent:
		case k.over:
			end(mfsched.PollFailed{Worker: id, Number: v.Number, Sent: sent, Result: mfsched.ResultIncarnationEnded})
		default:
			err := k.look(v.Order, func(r mothferry.PollReport) {
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
