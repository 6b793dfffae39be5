package mfemulate

import (
	"time"

	"mothferry"
)

// Bounds on tasks that end the workers that start them.
const (
	// crashBudget workers may crash under such a task; after that it may be started
	// fewer than repeatBound times.
	crashBudget  = 3
	restartLimit = 3
	// lastingRestartDelay is how long after one start of a lasting task that ends its workers the
	// next one may come, once crashBudget of them have crashed: it can't be given up, as the
	// others of its step are at work.
	lastingRestartDelay = 3 * time.Second
	// minCrashes is how many workers must have crashed under a task for its job to be
	// shown as failed for that.
	minCrashes = 2
)

// scheduleCrash ends the worker of a task that does that, a while after its start.
func (w *World) scheduleCrash(o *worker, name mothferry.TaskName) {
	c := w.jobs[name.Job]
	if c.crashingTask == nil || *c.crashingTask != name {
		return
	}
	lasts := c.submission.Steps[name.Step].Lasting
	if lasts && !w.lateOrder {
		if c.crashes[name] >= crashBudget && w.now.Sub(c.crashingTaskStartedAt) < lastingRestartDelay {
			w.violation("lasting task %v is started %v after the last time, %d workers had crashed under it", name, w.now.Sub(c.crashingTaskStartedAt), c.crashes[name])
		}
		c.crashingTaskStartedAt = w.now
	}
	if c.crashes[name] >= crashBudget && !lasts {
		if c.crashRestarts++; c.crashRestarts == restartLimit {
			w.violation("task %v is started %d times after %d workers had crashed under it", name, restartLimit, crashBudget)
		}
	}
	w.after(w.Faults.CrashAfter, func() {
		if !o.ended && o.machine.worker == o.listing.At.Worker {
			w.Stats.Crashes++
			w.crashMachine(o.machine, w.Faults.CrashDown)
		}
	})
}

// checkFailed watches that a job is shown as failed only for a cause: runs of a task that
// ended failed, or workers that crashed under it.
func (w *World) checkFailed(c *jobRecord) {
	if c.submission.Lasts() {
		w.violation("lasting job %s is shown as failed", c.id)
	}
	if c.crashingTask == nil {
		w.Stats.UnrelatedFailures++
	}
	attempts := max(1, w.Queues[c.submission.Queue].MaxAttempts)
	for _, n := range c.failures {
		if n >= attempts {
			return
		}
	}
	for _, n := range c.crashes {
		if n >= minCrashes {
			return
		}
	}
	w.violation("job %s is shown as failed without a cause: runs failed %v, workers crashed %v", c.id, c.failures, c.crashes)
}
