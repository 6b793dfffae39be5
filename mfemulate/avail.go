package mfemulate

import (
	"time"

	"mothferry"
)

// departure is when a lasting task was last at work, and whether its run was ended by order.
type departure struct {
	at      time.Time
	ordered bool
}

// atWork reports whether a lasting run serves at its full pace and no order ends it.
func (r *run) atWork(now time.Time) bool {
	return !r.ended && !r.ordered && now.Sub(r.begun) >= r.takes
}

// checkAvailable watches that no order ends a lasting task at work while as many others
// of its step are away as may be. An order that its worker held back is not the owner's fault, and
// a worker that nothing reaches is not sound.
func (w *World) checkAvailable(o *worker, name mothferry.TaskName, how string) {
	c := w.jobs[name.Job]
	step := &c.submission.Steps[name.Step]
	if !step.Lasting || step.MayMiss == 0 || !o.running[name].atWork(w.now) || w.late || o.silent || !c.cancelled.IsZero() {
		return
	}
	if away := w.awayBeside(c, name); len(away) >= step.MayMiss {
		w.broken("task %v run %d is ended by a %s on %s while others are away: %v", name, o.running[name].number, how, o.listing.At.Worker, away)
	}
}

// awayBeside returns the other tasks of a step that are away: ended by an order, or not at
// work for so long that their users notice.
func (w *World) awayBeside(c *caller, name mothferry.TaskName) []mothferry.TaskName {
	var away []mothferry.TaskName
	for x := range c.submission.Steps[name.Step].Count {
		other := name
		other.Index = x
		if x == name.Index || w.isAtWork(other) {
			continue
		}
		last, was := c.left[other]
		if !was {
			last.at = c.submission.Accepted
		}
		if last.ordered || w.now.Sub(last.at) >= w.Limits.UnavailableAfter {
			away = append(away, other)
		}
	}
	return away
}

// isAtWork reports whether some run of a lasting task is at work.
func (w *World) isAtWork(name mothferry.TaskName) bool {
	for _, o := range w.begun[name] {
		if r, there := o.running[name]; there && !o.over && r.atWork(w.now) {
			return true
		}
	}
	return false
}

// leave takes in that a run is about to end.
func (w *World) leave(o *worker, name mothferry.TaskName) {
	if r := o.running[name]; r.step.Lasting && r.atWork(w.now) {
		w.jobs[name.Job].left[name] = departure{at: w.now}
	}
}

// endByOrder takes in that an order ends a run, at once or after a while.
func (w *World) endByOrder(o *worker, name mothferry.TaskName, how string) {
	w.checkAvailable(o, name, how)
	r := o.running[name]
	if r.step.Lasting && r.atWork(w.now) {
		w.jobs[name.Job].left[name] = departure{at: w.now, ordered: true}
	}
	r.ordered = true
}

// faultUntil says that a fault acts on owners until a moment.
func (w *World) faultUntil(t time.Time) {
	if t.After(w.faulty) {
		w.faulty = t
	}
}

// faultNear reports whether something may have kept a worker's lease from being extended.
func (w *World) faultNear(o *worker) bool {
	since := w.now.Add(-w.Limits.MaxLease)
	return w.Faults.ofCalls() || since.Before(w.faulty) || since.Before(o.silentUntil)
}
