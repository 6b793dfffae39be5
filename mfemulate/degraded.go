package mfemulate

import (
	"math"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// EstimateErrors say how far off estimates are. The zero value has them off by a fifth at most.
type EstimateErrors struct {
	// QueueError is by how much at most, as a logarithm, all estimates of a queue are off together.
	QueueError float64 `yaml:"off"`
	// TaskSpread is the spread of each task's time, as a logarithm.
	TaskSpread float64 `yaml:"spread"`
	// TailFraction is the part of the tasks that take TailTimes as long.
	TailFraction float64 `yaml:"tail"`
	TailFactor   float64 `yaml:"tail_times"`
}

// drawDuration draws how long a run takes on a usual worker: its estimate, a fifth off either
// way. What estimates are off by is drawn once for each task.
func (w *World) drawDuration(name mothferry.TaskName, step *mfjob.Step) time.Duration {
	takes := float64(step.Estimate) * (0.8 + 0.4*w.Random.Float64())
	if of := w.jobs[name.Job].taskDurations; of != nil && !step.Lasting {
		return of[name]
	}
	return time.Duration(takes)
}

// drawTaskDurations draws how long each task of a job takes, if estimates are off.
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
			takes := float64(step.Estimate) * w.queueErrors[queue] * w.logNormal(1, w.Estimates.TaskSpread)
			if w.chance(w.Estimates.TailFraction) {
				takes *= w.Estimates.TailFactor
			}
			c.taskDurations[mothferry.TaskName{Job: c.id, Step: i, Index: x}] = time.Duration(takes)
		}
	}
}

// criticalPath returns the longest chain of work of a job: of what its tasks take where that is drawn,
// or of their estimates.
func (c *jobRecord) criticalPath() time.Duration {
	if c.taskDurations == nil {
		return c.submission.CriticalPath()
	}
	s := c.submission
	s.Steps = slices.Clone(s.Steps)
	for name, takes := range c.taskDurations {
		s.Steps[name.Step].Estimate = max(s.Steps[name.Step].Estimate, takes)
	}
	return s.CriticalPath()
}

// workDone returns how much of its time a run has got done. One that hangs gets nothing done.
func (r *run) workDone(now time.Time, pace float64) time.Duration {
	if r.hung {
		return 0
	}
	return r.workAtPaceChange + time.Duration(float64(now.Sub(r.paceChangedAt))*pace)
}

// setPace has a worker get its tasks done faster or slower from now on.
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

// scheduleEnd has a run end once its work is done, unless the worker's pace changes before.
func (o *worker) scheduleEnd(name mothferry.TaskName, r *run) {
	if r.hung {
		return
	}
	paced := r.paceChanges
	o.world.after(time.Duration(float64(r.duration-r.workAtPaceChange)/o.pace), func() {
		if r.paceChanges == paced {
			o.finish(name, r)
		}
	})
}

// SlowWorker has a machine's worker take some times as long for its tasks for a while.
func (w *World) SlowWorker(index int, times float64, d time.Duration) {
	w.degradeWorker(index, d, func(k *worker) { k.setPace(1 / times) }, func(k *worker) { k.setPace(1) })
}

// HangWorker has a machine's worker hang a part of the tasks that it starts in a while.
func (w *World) HangWorker(index int, part float64, d time.Duration) {
	w.degradeWorker(index, d, func(k *worker) { k.hangFraction = part }, func(k *worker) { k.hangFraction = 0 })
}

func (w *World) degradeWorker(index int, d time.Duration, begin, end func(*worker)) {
	k, there := w.workers[w.machines[index%len(w.machines)].worker]
	if !there || k.ended {
		return
	}
	begin(k)
	w.after(d, func() {
		if !k.ended {
			end(k)
		}
	})
}

// LoadDegraded has a part of a service's workers, as they are then, be slow or hang tasks.
type LoadDegraded struct {
	Service mothferry.ServiceID `yaml:"service"`
	// Fraction is the part of the service's machines.
	Fraction float64       `yaml:"share"`
	Start    time.Duration `yaml:"from"`
	Duration time.Duration `yaml:"for"`
	// SlowFactor is how many times as long their tasks take; Hang the part of them that hangs.
	SlowFactor   float64 `yaml:"slow"`
	HangFraction float64 `yaml:"hang"`
}

func (w *World) degradePool(u LoadDegraded) {
	var in []int
	for i, m := range w.machines {
		if m.pool == u.Service && m.worker != "" {
			in = append(in, i)
		}
	}
	w.Random.Shuffle(len(in), func(a, b int) { in[a], in[b] = in[b], in[a] })
	for _, i := range in[:int(math.Ceil(u.Fraction*float64(len(in))))] {
		if u.SlowFactor > 0 {
			w.SlowWorker(i, u.SlowFactor, u.Duration)
		}
		if u.HangFraction > 0 {
			w.HangWorker(i, u.HangFraction, u.Duration)
		}
	}
}
