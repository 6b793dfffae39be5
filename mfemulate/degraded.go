package mfemulate

import (
	"math"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// EstimateErrors are the errors of tasks' estimates. With the zero value each run's time is
// within a fifth of its estimate.
type EstimateErrors struct {
	// QueueError is the maximum common error of all estimates of a queue, as a logarithm.
	QueueError float64 `yaml:"off"`
	// TaskSpread is the spread of each task's time, as a logarithm.
	TaskSpread float64 `yaml:"spread"`
	// TailFraction is the fraction of the tasks that take TailFactor times as long.
	TailFraction float64 `yaml:"tail"`
	TailFactor   float64 `yaml:"tail_times"`
}

// drawDuration draws the time of a run on a worker of normal speed, within a fifth of its
// estimate. If estimates have errors, the time was drawn once for each task.
func (w *World) drawDuration(name mothferry.TaskName, step *mfjob.Step) time.Duration {
	duration := float64(step.Estimate) * (0.8 + 0.4*w.Random.Float64())
	if drawn := w.jobs[name.Job].taskDurations; drawn != nil && !step.Lasting {
		return drawn[name]
	}
	return time.Duration(duration)
}

// drawTaskDurations draws the time of each task of a job, if estimates have errors.
func (w *World) drawTaskDurations(c *jobRecord) {
	if w.Estimates == (EstimateErrors{}) || c.submission.Lasts() {
		return
	}
	queue := c.submission.Queue
	if _, drawn := w.queueErrors[queue]; !drawn {
		w.queueErrors[queue] = math.Exp(w.Estimates.QueueError * (2*w.Random.Float64() - 1))
	}
	c.taskDurations = map[mothferry.TaskName]time.Duration{}
	for i, step := range c.submission.Steps {
		for x := range step.Count {
			duration := float64(step.Estimate) * w.queueErrors[queue] * w.logNormal(1, w.Estimates.TaskSpread)
			if w.chance(w.Estimates.TailFraction) {
				duration *= w.Estimates.TailFactor
			}
			c.taskDurations[mothferry.TaskName{Job: c.id, Step: i, Index: x}] = time.Duration(duration)
		}
	}
}

// criticalPath returns the length of a job's critical path. A step counts as its longest drawn
// task time, or as its estimate if that is longer or no times are drawn.
func (c *jobRecord) criticalPath() time.Duration {
	if c.taskDurations == nil {
		return c.submission.CriticalPath()
	}
	s := c.submission
	s.Steps = slices.Clone(s.Steps)
	for name, duration := range c.taskDurations {
		s.Steps[name.Step].Estimate = max(s.Steps[name.Step].Estimate, duration)
	}
	return s.CriticalPath()
}

// workDone returns how much of its duration a run has done. A hung run does nothing.
func (r *run) workDone(now time.Time, pace float64) time.Duration {
	if r.hung {
		return 0
	}
	return r.workAtPaceChange + time.Duration(float64(now.Sub(r.paceChangedAt))*pace)
}

// setPace changes the speed at which a worker executes its tasks.
func (o *worker) setPace(pace float64) {
	for _, name := range o.runningTasks() {
		r := o.running[name]
		if r.step.Lasting {
			continue
		}
		r.workAtPaceChange, r.paceChangedAt = r.workDone(o.world.now, o.pace), o.world.now
		r.paceChanges++
		defer o.scheduleEnd(name, r)
	}
	o.pace = pace
}

// scheduleEnd ends a run once its work is done, unless the worker's pace changes before.
func (o *worker) scheduleEnd(name mothferry.TaskName, r *run) {
	if r.hung {
		return
	}
	paceChanges := r.paceChanges
	o.world.after(time.Duration(float64(r.duration-r.workAtPaceChange)/o.pace), func() {
		if r.paceChanges == paceChanges {
			o.finish(name, r)
		}
	})
}

// SlowWorker multiplies the time of all tasks of a machine's worker by factor for d.
func (w *World) SlowWorker(index int, factor float64, d time.Duration) {
	w.degradeWorker(index, d, func(k *worker) { k.setPace(1 / factor) }, func(k *worker) { k.setPace(1) })
}

// HangWorker hangs a fraction of the tasks that a machine's worker starts within d.
func (w *World) HangWorker(index int, fraction float64, d time.Duration) {
	w.degradeWorker(index, d, func(k *worker) { k.hangFraction = fraction }, func(k *worker) { k.hangFraction = 0 })
}

func (w *World) degradeWorker(index int, d time.Duration, begin, end func(*worker)) {
	k, found := w.workers[w.machines[index%len(w.machines)].worker]
	if !found || k.ended {
		return
	}
	begin(k)
	w.after(d, func() {
		if !k.ended {
			end(k)
		}
	})
}

// LoadDegraded makes a fraction of the workers that a service has at Start slow, or hang
// tasks.
type LoadDegraded struct {
	Service mothferry.ServiceID `yaml:"service"`
	// Fraction is the fraction of the service's machines.
	Fraction float64       `yaml:"share"`
	Start    time.Duration `yaml:"from"`
	Duration time.Duration `yaml:"for"`
	// SlowFactor multiplies the time of the workers' tasks; HangFraction is the fraction of
	// the tasks that hang.
	SlowFactor   float64 `yaml:"slow"`
	HangFraction float64 `yaml:"hang"`
}

func (w *World) degradePool(u LoadDegraded) {
	var pool []int
	for i, m := range w.machines {
		if m.pool == u.Service && m.worker != "" {
			pool = append(pool, i)
		}
	}
	w.Random.Shuffle(len(pool), func(a, b int) { pool[a], pool[b] = pool[b], pool[a] })
	for _, i := range pool[:int(math.Ceil(u.Fraction*float64(len(pool))))] {
		if u.SlowFactor > 0 {
			w.SlowWorker(i, u.SlowFactor, u.Duration)
		}
		if u.HangFraction > 0 {
			w.HangWorker(i, u.HangFraction, u.Duration)
		}
	}
}
