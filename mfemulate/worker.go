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
	// over says that this life has ended; silent that nothing reaches it.
	over   bool
	silent bool
	// silentUntil is when the last silence ended or is to end.
	silentUntil time.Time
	// began is when it started: its clock begins then.
	began time.Time
	// speed of its clock against true time, at most 2% slow.
	speed   float64
	epoch   mothferry.Epoch
	until   mothferry.WorkerClock
	lease   int
	running map[mothferry.TaskName]*run
	// pace is how much of a task's time it gets done in that time, hangs the part of the
	// tasks that hang.
	pace, hangs float64
	// highest holds the highest run of each task that ended or was stopped here.
	highest map[mothferry.TaskName]mothferry.RunNumber
	ends    []mothferry.EndedTask
	last    mothferry.EndNumber
	waiting []*waitingLook
}

// run is one run of a task.
type run struct {
	number mothferry.RunNumber
	step   *mfjob.Step
	begun  time.Time
	takes  time.Duration
	fails  bool
	// settled is the work that was done at since, when the worker's pace last changed;
	// paced counts those changes.
	settled time.Duration
	since   time.Time
	paced   int
	// hangs says that it never gets anything done.
	hangs    bool
	stopping bool
	// ordered says that an order ends it, or a lease that lapsed without a fault near.
	ordered bool
	// ended marks a run that is over, for events that are still to come.
	ended bool
}

type waitingLook struct {
	answer func(mothferry.PollReport)
	// broken is called if the worker ends before it answers.
	broken func()
	done   bool
}

func (o *worker) clock() mothferry.WorkerClock {
	return mothferry.WorkerClock(float64(o.world.now.Sub(o.began))*o.speed) + mothferry.WorkerClock(time.Second)
}

// extend lengthens the lease of all that runs.
func (o *worker) extend(until mothferry.WorkerClock) {
	until = min(until, o.clock()+mothferry.WorkerClock(o.world.Limits.MaxLease))
	if until <= o.until {
		return
	}
	o.until = until
	o.lease++
	lease := o.lease
	left := time.Duration(float64(until-o.clock()) / o.speed)
	o.world.after(left, func() {
		if o.lease == lease && !o.over {
			o.endAll(mothferry.EndLeaseExpired)
		}
	})
}

func (o *worker) endAll(cause mothferry.EndCause) {
	for _, name := range o.names() {
		if cause == mothferry.EndLeaseExpired && !o.world.faultNear(o) {
			o.world.endByOrder(o, name, "lease that lapsed")
		}
		o.end(name, cause)
	}
}

func (o *worker) names() []mothferry.TaskName {
	var names []mothferry.TaskName
	for n := range o.running {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b mothferry.TaskName) int {
		return cmp.Compare(o.world.printed(a), o.world.printed(b))
	})
	return names
}

// end ends a run and lists that.
func (o *worker) end(name mothferry.TaskName, cause mothferry.EndCause) {
	o.world.leave(o, name)
	r := o.running[name]
	r.ended = true
	delete(o.running, name)
	o.highest[name] = max(o.highest[name], r.number)
	o.last++
	o.ends = append(o.ends, mothferry.EndedTask{Number: o.last, Task: name, Run: r.number, Cause: cause})
	if cause == mothferry.EndDone {
		c := o.world.jobs[name.Job]
		if !c.done[name] {
			c.doneAt[name] = o.world.now
		}
		c.done[name] = true
	}
	for _, l := range o.waiting {
		o.answer(l)
	}
	o.waiting = nil
}

func (o *worker) answer(l *waitingLook) {
	if l.done {
		return
	}
	l.done = true
	l.answer(o.report())
}

// breakLooks has the connections end on which looks wait.
func (o *worker) breakLooks() {
	for _, l := range o.waiting {
		if !l.done && !o.silent {
			l.done = true
			o.world.after(orderDelay, l.broken)
		}
	}
	o.waiting = nil
}

func (o *worker) report() mothferry.PollReport {
	report := mothferry.PollReport{Clock: o.clock(), StartedAt: o.listing.StartedAt, Ended: slices.Clone(o.ends)}
	for _, n := range o.names() {
		r := o.running[n]
		percent := int(100 * float64(r.done(o.world.now, o.paceOf(r))) / float64(max(1, r.takes)))
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

// look carries a look out.
func (o *worker) look(order mothferry.PollOrder, answer func(mothferry.PollReport), broken func()) error {
	if order.Epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = order.Epoch
	o.extend(order.Until)
	o.ends = slices.DeleteFunc(o.ends, func(e mothferry.EndedTask) bool { return e.Number <= order.LastEndSeen })
	l := &waitingLook{answer: answer, broken: broken}
	if len(o.ends) > 0 || order.Wait == 0 {
		o.answer(l)
		return nil
	}
	o.waiting = append(o.waiting, l)
	o.world.after(order.Wait, func() {
		if !o.over && !o.silent {
			o.answer(l)
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
	o.extend(order.Until)
	if r, there := o.running[order.Task]; there && r.number == order.Run {
		return nil
	}
	if order.Run <= o.highest[order.Task] {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalRun}
	}
	step := &o.world.jobs[order.Task.Job].submission.Steps[order.Task.Step]
	if !o.fits(step) {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalCapacity}
	}
	o.world.checkStart(o, order)
	takes := o.world.duration(order.Task, step)
	r := &run{number: order.Run, step: step, begun: o.world.now, since: o.world.now, takes: takes, fails: o.world.chance(o.world.Faults.FailTask)}
	r.hangs = !step.Lasting && o.world.chance(o.hangs)
	o.running[order.Task] = r
	o.world.crashLater(o, order.Task)
	if step.Lasting {
		o.world.failLater(o, order.Task, r)
	} else {
		o.endLater(order.Task, r)
	}
	return nil
}

// failLater has a lasting run fail by itself, if any do.
func (w *World) failLater(o *worker, name mothferry.TaskName, r *run) {
	if w.Faults.LastingFor > 0 {
		r.fails = true
		w.after(time.Duration(w.Random.ExpFloat64()*float64(w.Faults.LastingFor)), func() { o.finish(name, r) })
	}
}

func (o *worker) finish(name mothferry.TaskName, r *run) {
	if r.ended || o.over {
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
		used = used.Add(r.step.Room())
	}
	return step.Room().Fits(o.listing.Capacity.Sub(used))
}

// stop carries an order to stop out. A run that is not there is refused later.
func (o *worker) stop(name mothferry.TaskName, number mothferry.RunNumber, epoch mothferry.Epoch) error {
	if epoch < o.epoch {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalEpoch}
	}
	o.epoch = epoch
	o.highest[name] = max(o.highest[name], number)
	r, there := o.running[name]
	if !there || r.number != number || r.stopping {
		return nil
	}
	o.world.endByOrder(o, name, "stop")
	r.stopping = true
	o.world.after(stopTakes, func() {
		if !r.ended && !o.over {
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
	for _, other := range w.begun[order.Task] {
		if r, there := other.running[order.Task]; there && !other.over {
			if beside[other] = true; step.Speculative && len(beside) < mostCopies && other != o {
				continue
			}
			w.broken("task %v run %d starts on %s while run %d is on %s", order.Task, order.Run, o.listing.At.Worker, r.number, other.listing.At.Worker)
		}
	}
	if !slices.Contains(w.begun[order.Task], o) {
		w.begun[order.Task] = append(w.begun[order.Task], o)
	}
	// The same holds for a start that was sent when the lease of an earlier run
	// had lapsed, and whose worker carries it out after that run turned out done.
	if !w.late && c.done[order.Task] && !step.Lasting && w.noted(order.Task) && !(step.Speculative && w.now.Sub(c.doneAt[order.Task]) < copyLateBy) {
		w.broken("task %v run %d starts after it was done", order.Task, order.Run)
	}
	w.checkAccount(c, &step)
	for _, a := range step.After {
		for x := range c.submission.Steps[a].Count {
			before := order.Task
			before.Step, before.Index = a, x
			if !c.done[before] {
				w.broken("task %v starts before %v is done", order.Task, before)
			}
		}
	}
	// No owner can keep a worker from carrying out late what it took before the
	// cancel, if the order to stop was lost as well: then only the lease bounds it.
	if !w.late && !c.cancelled.IsZero() && w.now.Sub(c.cancelled) > cancelWithin {
		w.broken("task %v starts %v after its job was cancelled", order.Task, w.now.Sub(c.cancelled))
	}
}

const (
	// mostCopies is how many runs a task of a speculative step may have at the same time.
	mostCopies = 2
	// copyLateBy is how long after the end of a task's run the start of its copy may come.
	copyLateBy = time.Second
)

// cancelWithin is how long after a cancel tasks may still start: the owner
// hears of it within a fraction of a second, but a late order may be under way.
const cancelWithin = 3 * time.Second

// noted reports whether the store knows that a task is done.
func (w *World) noted(name mothferry.TaskName) bool {
	p, ok := w.committed[name.Job]
	if !ok || name.Occurrence >= len(p.Occurrences) {
		return ok && p.State == mfjob.StateCompleted
	}
	s := p.Occurrences[name.Occurrence][name.Step]
	return s.Done || name.Index < len(s.Tasks) && s.Tasks[name.Index].Done
}
