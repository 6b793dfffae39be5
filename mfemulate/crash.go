package mfemulate

import (
	"time"

	"mothferry"
)

// Limits that the checker enforces on tasks that crash every worker that starts them.
const (
	// A task may crash crashBudget workers. After that it must be started fewer than
	// restartLimit times.
	crashBudget  = 3
	restartLimit = 3
	// lastingRestartDelay is the minimum interval between starts of a lasting task that has
	// crashed crashBudget workers. Such a task is not failed, since the others of its step
	// serve.
	lastingRestartDelay = 3 * time.Second
	// minCrashes is how many workers must have crashed under a task before its job may be
	// failed for that.
	minCrashes = 2
)

// scheduleCrash crashes the worker of a job's crashing task, CrashAfter its start.
func (w *World) scheduleCrash(o *worker, name mothferry.TaskName) {
	c := w.jobs[name.Job]
	if c.crashingTask == nil || *c.crashingTask != name {
		return
	}
	lasting := c.submission.Steps[name.Step].Lasting
	if lasting && !w.lateOrder {
		if c.crashes[name] >= crashBudget && w.now.Sub(c.crashingTaskStartedAt) < lastingRestartDelay {
			w.violation("lasting task %v is started again after %v, although it has crashed %d workers", name, w.now.Sub(c.crashingTaskStartedAt), c.crashes[name])
		}
		c.crashingTaskStartedAt = w.now
	}
	if c.crashes[name] >= crashBudget && !lasting {
		if c.crashRestarts++; c.crashRestarts == restartLimit {
			w.violation("task %v is started %d times after it has crashed %d workers", name, restartLimit, crashBudget)
		}
	}
	w.after(w.Faults.CrashAfter, func() {
		if !o.ended && o.machine.worker == o.listing.At.Worker {
			w.Stats.Crashes++
			w.crashMachine(o.machine, w.Faults.CrashDown)
		}
	})
}

// checkFailed reports a job that is stored as failed without a cause: failed runs of a task,
// or workers that crashed under it.
func (w *World) checkFailed(c *jobRecord) {
	if c.submission.Lasts() {
		w.violation("lasting job %s is stored as failed", c.id)
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
	w.violation("job %s is stored as failed without a cause: failed runs %v, worker crashes %v", c.id, c.failures, c.crashes)
}
