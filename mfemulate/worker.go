package mfemulate

import (
	"cmp"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// worker is one life of a worker, as the platform promises it to behave.
type worker struct {
	world   *World
	listing mfsched.Worker
	machine *machine
	// ended says that this life has ended; silent that nothing reaches it.
	ended       bool
	unreachable bool
	// unreachableUntil is when the last silence ended or is to end.
	unreachableUntil time.Time
	// startedAt is when it started: its clock begins then.
	startedAt time.Time
	// clockRate of its clock against true time, at most 2% slow.
	clockRate   float64
	epoch       mothferry.Epoch
	leaseUntil  mothferry.WorkerClock
	leaseNumber int
	running     map[mothferry.TaskName]*run
	// pace is how much of a task's time it gets done in that time, hangs the part of the
	// tasks that hang.
	pace, hangFraction float64
	// highestRuns holds the highest run of each task that ended or was stopped here.
	highestRuns  map[mothferry.TaskName]mothferry.RunNumber
	ends         []mothferry.EndedTask
	lastEnd      mothferry.EndNumber
	waitingPolls []*waitingPoll
}

// run is one run of a task.
type run struct {
	number    mothferry.RunNumber
	step      *mfjob.Step
	startedAt time.Time
	duration  time.Duration
	fails     bool
	// workAtPaceChange is the work that was done at since, when the worker's pace last changed;
	// paced counts those changes.
	workAtPaceChange time.Duration
	paceChangedAt    time.Time
	paceChanges      int
	// hung says that it never gets anything done.
	hung     bool
	stopping bool
	// endedByOrder says that an order ends it, or a lease that lapsed without a fault near.
	endedByOrder bool
	// ended marks a run that is over, for events that are still to come.
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

// extendLease lengthens the lease of all that runs.
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
			o.world.endByOrder(o, name, "lease that lapsed")
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

// end ends a run and lists that.
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

// breakPolls has the connections end on which looks wait.
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

// paceOf returns a run's pace: lasting tasks are at work as soon on a slow worker.
func (o *worker) paceOf(r *run) float64 {
	if r.step.Lasting {
		return 1
	}
	return o.pace
}

// poll carries a look out.
func (o *worker) poll(order mothferry.PollOrder, answer func(mothferry.PollReport), broken func()) error {
	if order.Epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = order.Epoch
	o.extendLease(order.Until)
	o.ends = slices.DeleteFunc(o.ends, func(e mothferry.EndedTask) bool { return e.Number <= order.LastEndSeen })
	l := &waitingPoll{answer: answer, connectionLost: broken}
	if len(o.ends) > 0 || order.Wait == 0 {
		o.answerPoll(l)
		return nil
	}
	o.waitingPolls = append(o.waitingPolls, l)
	o.world.after(order.Wait, func() {
		if !o.ended && !o.unreachable {
			o.answerPoll(l)
		}
	})
	return nil
}

// start carries an order to start out.
func (o *worker) start(order mothferry.StartOrder) error {
	if order.Epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = order.Epoch
	if order.Until <= o.clock() {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalLate}
	}
	o.extendLease(order.Until)
	if r, there := o.running[order.Task]; there && r.number == order.Run {
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
	takes := o.world.drawDuration(order.Task, step)
	r := &run{number: order.Run, step: step, startedAt: o.world.now, paceChangedAt: o.world.now, duration: takes, fails: o.world.chance(o.world.Faults.FailTask)}
	r.hung = !step.Lasting && o.world.chance(o.hangFraction)
	o.running[order.Task] = r
	o.world.scheduleCrash(o, order.Task)
	if step.Lasting {
		o.world.scheduleFailure(o, order.Task, r)
	} else {
		o.scheduleEnd(order.Task, r)
	}
	return nil
}

// scheduleFailure has a lasting run fail by itself, if any do.
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

// stop carries an order to stop out. A run that is not there is refused later.
func (o *worker) stop(name mothferry.TaskName, number mothferry.RunNumber, epoch mothferry.Epoch) error {
	if epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = epoch
	o.highestRuns[name] = max(o.highestRuns[name], number)
	r, there := o.running[name]
	if !there || r.number != number || r.stopping {
		return nil
	}
	o.world.endByOrder(o, name, "stop")
	r.stopping = true
	o.world.after(stopTime, func() {
		if !r.ended && !o.ended {
			o.end(name, mothferry.EndStopped)
		}
	})
	return nil
}

// checkStart watches what must never happen when a run begins.
func (w *World) checkStart(o *worker, order mothferry.StartOrder) {
	c := w.jobs[order.Task.Job]
	step := c.submission.Steps[order.Task.Step]
	beside := map[*worker]bool{}
	for _, other := range w.startedOn[order.Task] {
		if r, there := other.running[order.Task]; there && !other.ended {
			if beside[other] = true; step.Speculative && len(beside) < maxRunsPerTask && other != o {
				continue
			}
			w.violation("task %v run %d starts on %s while run %d is on %s", order.Task, order.Run, o.listing.At.Worker, r.number, other.listing.At.Worker)
		}
	}
	if !slices.Contains(w.startedOn[order.Task], o) {
		w.startedOn[order.Task] = append(w.startedOn[order.Task], o)
	}
	// The same holds for a start that was sent when the lease of an earlier run
	// had lapsed, and whose worker carries it out after that run turned out done.
	if !w.lateOrder && c.done[order.Task] && !step.Lasting && w.storedAsDone(order.Task) && !(step.Speculative && w.now.Sub(c.doneAt[order.Task]) < copyStartGrace) {
		w.violation("task %v run %d starts after it was done", order.Task, order.Run)
	}
	w.checkAccount(c, &step)
	for _, a := range step.After {
		for x := range c.submission.Steps[a].Count {
			before := order.Task
			before.Step, before.Index = a, x
			if !c.done[before] {
				w.violation("task %v starts before %v is done", order.Task, before)
			}
		}
	}
	// No owner can keep a worker from carrying out late what it took before the
	// cancel, if the order to stop was lost as well: then only the lease bounds it.
	if !w.lateOrder && !c.cancelled.IsZero() && w.now.Sub(c.cancelled) > cancelGrace {
		w.violation("task %v starts %v after its job was cancelled", order.Task, w.now.Sub(c.cancelled))
	}
}

const (
	// maxRunsPerTask is how many runs a task of a speculative step may have at the same time.
	maxRunsPerTask = 2
	// copyStartGrace is how long after the end of a task's run the start of its copy may come.
	copyStartGrace = time.Second
)

// cancelGrace is how long after a cancel tasks may still start: the owner
// hears of it within a fraction of a second, but a late order may be under way.
const cancelGrace = 3 * time.Second

// storedAsDone reports whether the store knows that a task is done.
func (w *World) storedAsDone(name mothferry.TaskName) bool {
	p, ok := w.committed[name.Job]
	if !ok || name.Occurrence >= len(p.Occurrences) {
		return ok && p.State == mfjob.StateCompleted
	}
	s := p.Occurrences[name.Occurrence][name.Step]
	return s.Done || name.Index < len(s.Tasks) && s.Tasks[name.Index].Done
}
