package mfemulate

import (
	"time"

	"mothferry"
)

// Bounds on tasks that end the workers that start them.
const (
	// crashBudget workers may crash under such a task; after that it may be started
	// fewer than repeatBound times.
	crashBudget = 3
	repeatBound = 3
	// lastingPause is how long after one start of a lasting task that ends its workers the
	// next one may come, once crashBudget of them have crashed: it can't be given up, as the
	// others of its step are at work.
	lastingPause = 3 * time.Second
	// leastCrashes is how many workers must have crashed under a task for its job to be
	// shown as failed for that.
	leastCrashes = 2
)

// crashLater ends the worker of a task that does that, a while after its start.
func (w *World) crashLater(o *worker, name mothferry.TaskName) {
	c := w.jobs[name.Job]
	if c.crashing == nil || *c.crashing != name {
		return
	}
	lasts := c.submission.Steps[name.Step].Lasting
	if lasts && !w.late {
		if c.crashes[name] >= crashBudget && w.now.Sub(c.begun) < lastingPause {
			w.broken("lasting task %v is started %v after the last time, %d workers had crashed under it", name, w.now.Sub(c.begun), c.crashes[name])
		}
		c.begun = w.now
	}
	if c.crashes[name] >= crashBudget && !lasts {
		if c.repeats++; c.repeats == repeatBound {
			w.broken("task %v is started %d times after %d workers had crashed under it", name, repeatBound, crashBudget)
		}
	}
	w.after(w.Faults.CrashAfter, func() {
		if !o.over && o.machine.life == o.listing.At.Worker {
			w.Figures.Crashes++
			w.crash(o.machine, w.Faults.CrashDown)
		}
	})
}

// checkFailed watches that a job is shown as failed only for a cause: runs of a task that
// ended failed, or workers that crashed under it.
func (w *World) checkFailed(c *caller) {
	if c.submission.Lasts() {
		w.broken("lasting job %s is shown as failed", c.id)
	}
	if c.crashing == nil {
		w.Figures.Blameless++
	}
	attempts := max(1, w.Queues[c.submission.Queue].MaxAttempts)
	for _, n := range c.failures {
		if n >= attempts {
			return
		}
	}
	for _, n := range c.crashes {
		if n >= leastCrashes {
			return
		}
	}
	w.broken("job %s is shown as failed without a cause: runs failed %v, workers crashed %v", c.id, c.failures, c.crashes)
}
