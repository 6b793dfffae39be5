package mfemulate

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// worker is one incarnation of a worker that behaves as the platform specifies.
type worker struct {
	world   *World
	listing mfsched.Worker
	machine *machine
	// ended is set once the incarnation has ended, unreachable while no call reaches it.
	ended       bool
	unreachable bool
	// pausedUntil is until when it stands still.
	pausedUntil time.Time
	// cutFromEpoch is the first epoch whose owner can't reach it until cutUntil; zero for none.
	cutFromEpoch mothferry.Epoch
	cutUntil     time.Time
	// unreachableUntil is the end of the last partition.
	unreachableUntil time.Time
	// startedAt is when the worker started, at which its clock begins.
	startedAt time.Time
	// clockRate is the rate of its clock relative to simulated time, at most 2% slow.
	clockRate   float64
	epoch       mothferry.Epoch
	leaseUntil  mothferry.WorkerClock
	leaseNumber int
	running     map[mothferry.TaskName]*run
	// pace is the speed at which it executes tasks, 1 being normal; hangFraction is the
	// fraction of the tasks that hang.
	pace, hangFraction float64
	// highestRuns holds the highest run number of each task that ended or was stopped here.
	highestRuns  map[mothferry.TaskName]mothferry.RunNumber
	ends         []mothferry.EndedTask
	lastEnd      mothferry.EndNumber
	waitingPolls []*waitingPoll
}

// run is one run of a task.
type run struct {
	number    mothferry.RunNumber
	origin    origin
	step      *mfjob.Step
	startedAt time.Time
	duration  time.Duration
	fails     bool
	// workAtPaceChange is the work done at paceChangedAt, when the worker's pace last changed;
	// paceChanges counts those changes.
	workAtPaceChange time.Duration
	paceChangedAt    time.Time
	paceChanges      int
	// hung is set if the run never makes progress.
	hung     bool
	stopping bool
	// endedByOrder is set if an order ends the run, or a lease that expired without a recent
	// fault.
	endedByOrder bool
	// ended is set once the run has ended; pending events check it.
	ended bool
}

type waitingPoll struct {
	answer func(mothferry.PollReport)
	// connectionLost is called if the worker ends before it answers.
	connectionLost func()
	done           bool
}

func (o *worker) clock() mothferry.WorkerClock {
	return mothferry.WorkerClock(float64(o.world.now.Sub(o.startedAt))*o.clockRate) + mothferry.WorkerClock(time.Second)
}

// extendLease extends the one lease of all runs.
func (o *worker) extendLease(until mothferry.WorkerClock) {
	until = min(until, o.clock()+mothferry.WorkerClock(o.world.Limits.MaxLease))
	if until <= o.leaseUntil {
		return
	}
	o.leaseUntil = until
	o.leaseNumber++
	lease := o.leaseNumber
	left := time.Duration(float64(until-o.clock()) / o.clockRate)
	o.world.after(left, func() {
		if o.leaseNumber == lease && !o.ended {
			o.endAll(mothferry.EndLeaseExpired)
		}
	})
}

func (o *worker) endAll(cause mothferry.EndCause) {
	for _, name := range o.runningTasks() {
		if cause == mothferry.EndLeaseExpired && !o.world.recentFault(o) {
			o.world.endByOrder(o, name, "lease expiry")
		}
		o.end(name, cause)
	}
}

func (o *worker) runningTasks() []mothferry.TaskName {
	var names []mothferry.TaskName
	for n := range o.running {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b mothferry.TaskName) int {
		return cmp.Compare(o.world.taskText(a), o.world.taskText(b))
	})
	return names
}

// end ends a run and adds it to the listed ends.
func (o *worker) end(name mothferry.TaskName, cause mothferry.EndCause) {
	o.world.recordLastServing(o, name)
	r := o.running[name]
	r.ended = true
	delete(o.running, name)
	o.highestRuns[name] = max(o.highestRuns[name], r.number)
	o.lastEnd++
	o.ends = append(o.ends, mothferry.EndedTask{Number: o.lastEnd, Task: name, Run: r.number, Cause: cause})
	if cause == mothferry.EndDone {
		c := o.world.jobs[name.Job]
		if !c.done[name] {
			c.doneAt[name] = o.world.now
			o.world.recordDone(o, name, r)
		}
		c.done[name] = true
	}
	for _, l := range o.waitingPolls {
		o.answerPoll(l)
	}
	o.waitingPolls = nil
}

func (o *worker) answerPoll(l *waitingPoll) {
	if l.done {
		return
	}
	l.done = true
	l.answer(o.report())
}

// breakPolls breaks the connections of the waiting polls.
func (o *worker) breakPolls() {
	for _, l := range o.waitingPolls {
		if !l.done && !o.unreachable {
			l.done = true
			o.world.after(orderDelay, l.connectionLost)
		}
	}
	o.waitingPolls = nil
}

func (o *worker) report() mothferry.PollReport {
	report := mothferry.PollReport{Clock: o.clock(), StartedAt: o.listing.StartedAt, Ended: slices.Clone(o.ends)}
	for _, n := range o.runningTasks() {
		r := o.running[n]
		percent := int(100 * float64(r.workDone(o.world.now, o.paceOf(r))) / float64(max(1, r.duration)))
		report.Running = append(report.Running, mothferry.RunningTask{Task: n, Run: r.number, Percent: min(100, percent)})
	}
	return report
}

// paceOf returns a run's pace. Lasting tasks start to serve as soon on a slow worker as on
// others.
func (o *worker) paceOf(r *run) float64 {
	if r.step.Lasting {
		return 1
	}
	return o.pace
}

// poll executes a poll.
func (o *worker) poll(order mothferry.PollOrder, answer func(mothferry.PollReport), connectionLost func()) error {
	if order.Epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = order.Epoch
	o.extendLease(order.Until)
	o.ends = slices.DeleteFunc(o.ends, func(e mothferry.EndedTask) bool { return e.Number <= order.LastEndSeen })
	l := &waitingPoll{answer: answer, connectionLost: connectionLost}
	if len(o.ends) > 0 || order.Wait == 0 {
		o.answerPoll(l)
		return nil
	}
	o.waitingPolls = append(o.waitingPolls, l)
	o.world.after(order.Wait, func() {
		o.whenAwake(func() {
			if !o.ended && !o.unreachable {
				o.answerPoll(l)
			}
		})
	})
	return nil
}

// start executes an order to start a run.
func (o *worker) start(order mothferry.StartOrder) error {
	if order.Epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = order.Epoch
	if order.Until <= o.clock() {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalLate}
	}
	o.extendLease(order.Until)
	if r, running := o.running[order.Task]; running && r.number == order.Run {
		return nil
	}
	if order.Run <= o.highestRuns[order.Task] {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalRun}
	}
	step := &o.world.jobs[order.Task.Job].submission.Steps[order.Task.Step]
	if !o.fits(step) {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalCapacity}
	}
	o.world.checkStart(o, order)
	duration := o.world.drawDuration(order.Task, step)
	r := &run{number: order.Run, origin: o.world.origin, step: step, startedAt: o.world.now, paceChangedAt: o.world.now, duration: duration, fails: o.world.chance(o.world.Faults.FailTask)}
	r.hung = !step.Lasting && o.world.chance(o.hangFraction)
	if lower, running := o.running[order.Task]; running {
		// It is a violation that checkStart has reported.
		lower.ended = true
	}
	o.running[order.Task] = r
	o.world.scheduleCrash(o, order.Task)
	if step.Lasting {
		o.world.scheduleFailure(o, order.Task, r)
	} else {
		o.scheduleEnd(order.Task, r)
	}
	return nil
}

// scheduleFailure schedules the failure of a lasting run, if MeanLastingTime is set.
func (w *World) scheduleFailure(o *worker, name mothferry.TaskName, r *run) {
	if w.Faults.MeanLastingTime > 0 {
		r.fails = true
		w.after(time.Duration(w.Random.ExpFloat64()*float64(w.Faults.MeanLastingTime)), func() { o.finish(name, r) })
	}
}

func (o *worker) finish(name mothferry.TaskName, r *run) {
	if r.ended || o.ended {
		return
	}
	if o.paused() {
		o.whenAwake(func() { o.finish(name, r) })
		return
	}
	cause := mothferry.EndDone
	if r.fails {
		cause = mothferry.EndFailed
		o.world.jobs[name.Job].failures[name]++
	}
	o.end(name, cause)
}

func (o *worker) fits(step *mfjob.Step) bool {
	used := mothferry.Resources{}
	for _, r := range o.running {
		used = used.Add(r.step.Reservation())
	}
	return step.Reservation().Fits(o.listing.Capacity.Sub(used))
}

// stop executes an order to stop a run. If the run is not here, its start is refused from now
// on.
func (o *worker) stop(name mothferry.TaskName, number mothferry.RunNumber, epoch mothferry.Epoch) error {
	if epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = epoch
	o.highestRuns[name] = max(o.highestRuns[name], number)
	r, running := o.running[name]
	if !running || r.number != number || r.stopping {
		return nil
	}
	o.world.endByOrder(o, name, "stop")
	r.stopping = true
	o.world.after(stopTime, func() {
		o.whenAwake(func() {
			if !r.ended && !o.ended {
				o.end(name, mothferry.EndStopped)
			}
		})
	})
	return nil
}

// checkStart reports each invariant that the start of a run violates.
func (w *World) checkStart(o *worker, order mothferry.StartOrder) {
	c := w.jobs[order.Task.Job]
	step := c.submission.Steps[order.Task.Step]
	runningOn := map[*worker]bool{}
	for _, other := range w.startedOn[order.Task] {
		if r, running := other.running[order.Task]; running && !other.ended {
			if runningOn[other] = true; step.Speculative && len(runningOn) < maxRunsPerTask && other != o {
				continue
			}
			w.violation("task %v run %d starts on %s while run %d runs on %s", order.Task, order.Run, o.listing.At.Worker, r.number, other.listing.At.Worker)
			w.recordTwice(order, o, w.describeRun(r, other), other)
		}
	}
	if !slices.Contains(w.startedOn[order.Task], o) {
		w.startedOn[order.Task] = append(w.startedOn[order.Task], o)
	}
	// Late orders are exempt. Such a start may have been sent when an earlier run's lease had
	// expired, and be executed after that run turned out done.
	if !w.lateOrder && c.done[order.Task] && !step.Lasting && w.storedAsDone(order.Task) && !(step.Speculative && w.now.Sub(c.doneAt[order.Task]) < copyStartGrace) {
		w.violation("task %v run %d starts after it was done", order.Task, order.Run)
		done := w.doneRuns[order.Task]
		w.recordTwice(order, o, done.description, done.on)
	}
	w.checkAccount(c, &step)
	if k := order.Task.Occurrence; k >= c.submission.Occurrences() || w.now.Before(c.submission.ScheduledAt(k)) {
		w.violation("task %v starts before its occurrence is due", order.Task)
	}
	for _, a := range step.After {
		for x := range c.submission.Steps[a].Count {
			dependency := order.Task
			dependency.Step, dependency.Index = a, x
			if !c.done[dependency] {
				w.violation("task %v starts before %v is done", order.Task, dependency)
			}
		}
	}
	// No owner can prevent a worker from executing late an order that it received before the
	// cancel, if the order to stop is lost too. Only the lease bounds that.
	if !w.lateOrder && !c.cancelled.IsZero() && w.now.Sub(c.cancelled) > cancelGrace {
		w.violation("task %v starts %v after its job was cancelled", order.Task, w.now.Sub(c.cancelled))
	}
}

const (
	// maxRunsPerTask is how many runs a task of a speculative step may have at the same time.
	maxRunsPerTask = 2
	// copyStartGrace is how long after the end of a task's run its copy may still start.
	copyStartGrace = time.Second
)

// cancelGrace is how long after a cancel tasks may still start: the owner learns of it within
// a fraction of a second, but an order may still be in flight.
const cancelGrace = 3 * time.Second

// storedAsDone reports whether a task is stored as done.
func (w *World) storedAsDone(name mothferry.TaskName) bool {
	p, ok := w.committed[name.Job]
	if !ok || name.Occurrence >= p.Begun() || p.State.Final() {
		return ok && p.State == mfjob.StateCompleted
	}
	index, listed := name.Occurrence, true
	if p.Open != nil {
		index, listed = slices.BinarySearch(p.Open.Numbers, name.Occurrence)
	}
	if !listed {
		return true
	}
	s := p.Occurrences[index][name.Step]
	return s.Done || name.Index < len(s.Tasks) && s.Tasks[name.Index].Done
}
