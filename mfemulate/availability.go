package mfemulate

import (
	"time"

	"mothferry"
)

// lastServing is when a lasting task last served, and whether an order ended that run.
type lastServing struct {
	at           time.Time
	endedByOrder bool
}

// serving reports whether a lasting run has finished starting and no order is ending it.
func (r *run) serving(now time.Time) bool {
	return !r.ended && !r.endedByOrder && now.Sub(r.startedAt) >= r.duration
}

// checkAvailability reports an order that ends a serving lasting task while as many others of
// its step as may be (MayMiss) are unavailable. Orders that the worker executes late are not
// the owner's fault, and ends on an unreachable worker are not checked.
func (w *World) checkAvailability(o *worker, name mothferry.TaskName, cause string) {
	c := w.jobs[name.Job]
	step := &c.submission.Steps[name.Step]
	if !step.Lasting || step.MayMiss == 0 || !o.running[name].serving(w.now) || w.lateOrder || o.unreachable || !c.cancelled.IsZero() {
		return
	}
	if unavailable := w.othersUnavailable(c, name); len(unavailable) >= step.MayMiss {
		w.violation("task %v run %d is ended by a %s on %s while others are unavailable: %v", name, o.running[name].number, cause, o.listing.At.Worker, unavailable)
	}
}

// othersUnavailable returns the other tasks of a step that are unavailable: ended by an order,
// or not serving for UnavailableAfter or longer, which users notice.
func (w *World) othersUnavailable(c *jobRecord, name mothferry.TaskName) []mothferry.TaskName {
	var unavailable []mothferry.TaskName
	for x := range c.submission.Steps[name.Step].Count {
		other := name
		other.Index = x
		if x == name.Index || w.isServing(other) {
			continue
		}
		last, known := c.lastServing[other]
		if !known {
			last.at = c.submission.Accepted
		}
		if last.endedByOrder || w.now.Sub(last.at) >= w.Limits.UnavailableAfter {
			unavailable = append(unavailable, other)
		}
	}
	return unavailable
}

// isServing reports whether any run of a lasting task serves.
func (w *World) isServing(name mothferry.TaskName) bool {
	for _, o := range w.startedOn[name] {
		if r, running := o.running[name]; running && !o.ended && r.serving(w.now) {
			return true
		}
	}
	return false
}

// recordLastServing records when a lasting task last served whose run is about to end.
func (w *World) recordLastServing(o *worker, name mothferry.TaskName) {
	if r := o.running[name]; r.step.Lasting && r.serving(w.now) {
		w.jobs[name.Job].lastServing[name] = lastServing{at: w.now}
	}
}

// endByOrder records that an order ends a run, at once or after a delay.
func (w *World) endByOrder(o *worker, name mothferry.TaskName, cause string) {
	w.checkAvailability(o, name, cause)
	r := o.running[name]
	if r.step.Lasting && r.serving(w.now) {
		w.jobs[name.Job].lastServing[name] = lastServing{at: w.now, endedByOrder: true}
	}
	r.endedByOrder = true
}

// extendFault records that a fault may affect owners until t.
func (w *World) extendFault(t time.Time) {
	if t.After(w.faultUntilTime) {
		w.faultUntilTime = t
	}
}

// recentFault reports whether lost calls, or a fault within the last MaxLease, may have kept
// the worker's lease from being extended.
func (w *World) recentFault(o *worker) bool {
	since := w.now.Add(-w.Limits.MaxLease)
	return w.Faults.affectCalls() || since.Before(w.faultUntilTime) || since.Before(o.unreachableUntil)
}
