package mfemulate

import (
	"time"

	"mothferry"
)

// lastServing is when a lasting task was last at work, and whether its run was ended by order.
type lastServing struct {
	at           time.Time
	endedByOrder bool
}

// serving reports whether a lasting run serves at its full pace and no order ends it.
func (r *run) serving(now time.Time) bool {
	return !r.ended && !r.endedByOrder && now.Sub(r.startedAt) >= r.duration
}

// checkAvailability watches that no order ends a lasting task at work while as many others
// of its step are away as may be. An order that its worker held back is not the owner's fault, and
// a worker that nothing reaches is not sound.
func (w *World) checkAvailability(o *worker, name mothferry.TaskName, how string) {
	c := w.jobs[name.Job]
	step := &c.submission.Steps[name.Step]
	if !step.Lasting || step.MayMiss == 0 || !o.running[name].serving(w.now) || w.lateOrder || o.unreachable || !c.cancelled.IsZero() {
		return
	}
	if away := w.othersUnavailable(c, name); len(away) >= step.MayMiss {
		w.violation("task %v run %d is ended by a %s on %s while others are away: %v", name, o.running[name].number, how, o.listing.At.Worker, away)
	}
}

// othersUnavailable returns the other tasks of a step that are away: ended by an order, or not at
// work for so long that their users notice.
func (w *World) othersUnavailable(c *jobRecord, name mothferry.TaskName) []mothferry.TaskName {
	var away []mothferry.TaskName
	for x := range c.submission.Steps[name.Step].Count {
		other := name
		other.Index = x
		if x == name.Index || w.isServing(other) {
			continue
		}
		last, was := c.lastServing[other]
		if !was {
			last.at = c.submission.Accepted
		}
		if last.endedByOrder || w.now.Sub(last.at) >= w.Limits.UnavailableAfter {
			away = append(away, other)
		}
	}
	return away
}

// isServing reports whether some run of a lasting task is at work.
func (w *World) isServing(name mothferry.TaskName) bool {
	for _, o := range w.startedOn[name] {
		if r, there := o.running[name]; there && !o.ended && r.serving(w.now) {
			return true
		}
	}
	return false
}

// recordLastServing takes in that a run is about to end.
func (w *World) recordLastServing(o *worker, name mothferry.TaskName) {
	if r := o.running[name]; r.step.Lasting && r.serving(w.now) {
		w.jobs[name.Job].lastServing[name] = lastServing{at: w.now}
	}
}

// endByOrder takes in that an order ends a run, at once or after a while.
func (w *World) endByOrder(o *worker, name mothferry.TaskName, how string) {
	w.checkAvailability(o, name, how)
	r := o.running[name]
	if r.step.Lasting && r.serving(w.now) {
		w.jobs[name.Job].lastServing[name] = lastServing{at: w.now, endedByOrder: true}
	}
	r.endedByOrder = true
}

// extendFault says that a fault acts on owners until a moment.
func (w *World) extendFault(t time.Time) {
	if t.After(w.faultUntilTime) {
		w.faultUntilTime = t
	}
}

// recentFault reports whether something may have kept a worker's lease from being extended.
func (w *World) recentFault(o *worker) bool {
	since := w.now.Add(-w.Limits.MaxLease)
	return w.Faults.affectCalls() || since.Before(w.faultUntilTime) || since.Before(o.unreachableUntil)
}
