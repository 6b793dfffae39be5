package mfsched

import (
	"maps"
	"math"
	"time"

	"mothferry"
	"mothferry/mfspeed"
	"mothferry/mfstraggler"
)

// classifyInterval is how often workers' speeds are classified: every few polls, which is short
// compared with a task.
const classifyInterval = 100 * time.Millisecond

// baselineExpiryInterval is how often runs that are too old for a baseline are removed.
const baselineExpiryInterval = time.Minute

// hangDecayTime is the decay time of a worker's sum of hung tasks, and for how long a job whose
// task hung there counts.
const hangDecayTime = 4 * time.Second

// measuresSpeed reports whether a task's progress is evidence of its worker's speed. The progress
// of lasting tasks, best-effort tasks and gangs is measured otherwise.
func (t *task) measuresSpeed() bool {
	spec := t.step.spec
	return !spec.Lasting && !spec.Fills && !spec.Gang && spec.Estimate > 0
}

// speedClass returns the class of a task on a worker.
func (t *task) speedClass(w *worker) mfspeed.Class {
	spec := t.step.spec
	return speedClassOf(t.job, t.name.Step, spec.Rack != "" && spec.Rack != w.Rack)
}

// runInfo describes a task's run on a worker.
func (t *task) runInfo(w *worker) mfspeed.RunInfo {
	return mfspeed.RunInfo{Class: t.speedClass(w), Worker: w.at.Worker, Job: t.job.id, Estimate: t.step.spec.Estimate}
}

// speedClassOf returns the class of the tasks of a job's step, with data locality or without it.
func speedClassOf(j *job, step int, remote bool) mfspeed.Class {
	if image := j.submission.Steps[step].Image; image != "" {
		return mfspeed.Class{Image: image, Remote: remote}
	}
	return mfspeed.Class{Queue: j.submission.Queue, Step: step, Remote: remote}
}

// recordSpeedStart records that a run has just started, by its worker's clock. A run that resumes
// from a checkpoint starts at a percentage that only a poll reports, so it is left out.
func (s *State) recordSpeedStart(t *task, at mothferry.WorkerClock) {
	if at > 0 && t.checkpoint == "" && !s.Off[mothferry.FeatureStragglers] {
		t.track.Start(at)
	}
}

// recordSpeedProgress records the evidence of speed in a run's progress.
func (s *State) recordSpeedProgress(t *task, w *worker, now time.Time) {
	if !t.measuresSpeed() || s.Off[mothferry.FeatureStragglers] || t.phase != phaseRunning || !w.lastAnswer.hasClock {
		return
	}
	if w.lastAnswer.delayed {
		t.track.Skip(t.percent, w.clock)
		return
	}
	if t.track.Advance(t.percent, t.step.spec.Estimate, w.clock) {
		s.baselines.Record(t.runInfo(w), &t.track, now)
	}
}

// recordSpeedEnd records the evidence of speed of a run that has completed its task.
func (s *State) recordSpeedEnd(t *task, w *worker, now time.Time) {
	if !t.measuresSpeed() || s.Off[mothferry.FeatureStragglers] || t.phase != phaseRunning {
		return
	}
	if w.lastAnswer.hasClock && !w.lastAnswer.delayed && !w.lastAnswer.pollLate && t.track.End(t.step.spec.Estimate, w.clock) {
		s.baselines.Record(t.runInfo(w), &t.track, now)
	}
	w.speed.Add(&t.track)
}

// classifySpeeds decides which workers count as slow.
func (s *State) classifySpeeds(now time.Time) {
	if s.Off[mothferry.FeatureStragglers] || now.Sub(s.lastClassified) < classifyInterval {
		return
	}
	s.lastClassified = now
	if now.Sub(s.lastBaselineExpiry) >= baselineExpiryInterval {
		s.lastBaselineExpiry = now
		s.baselines.Expire(now)
	}
	pools := map[mothferry.ServiceID]mfstraggler.Pool{}
	for _, w := range s.sortedWorkers {
		if w.listed {
			p := pools[w.Service]
			p.Workers++
			p.Hangs += w.hangs.Value(hangDecayTime, now)
			pools[w.Service] = p
		}
	}
	known := map[mothferry.ServiceID]int{}
	candidates := map[mothferry.ServiceID][]mfstraggler.Candidate{}
	next := map[mothferry.WorkerID]mfstraggler.Status{}
	for _, w := range s.sortedWorkers {
		if !w.listed {
			continue
		}
		atFault := pools[w.Service].WorkerAtFault(w.hangs.Value(hangDecayTime, now), w.jobsWithHungTasks(now))
		v := w.slowStatus.Next(s.speedOf(w, now), atFault, now)
		if v.Known(now) {
			known[w.Service]++
		}
		next[w.at.Worker] = v
		if v.Degraded() {
			candidates[w.Service] = append(candidates[w.Service], mfstraggler.Candidate{Worker: w.at.Worker, Speed: v.RelativeSpeed()})
		}
	}
	slow := map[mothferry.WorkerID]bool{}
	for service, list := range candidates {
		for _, c := range mfstraggler.LimitSlow(list, known[service]) {
			slow[c.Worker] = true
		}
	}
	s.anySlow = len(slow) > 0
	for _, w := range s.sortedWorkers {
		v, classified := next[w.at.Worker]
		if classified && v.Degraded() && !slow[w.at.Worker] {
			v = v.Cleared()
		}
		if classified {
			s.setSlowStatus(w, v)
		}
	}
}

// jobsWithHungTasks returns the number of jobs whose tasks hung on a worker recently.
func (w *worker) jobsWithHungTasks(now time.Time) int {
	maps.DeleteFunc(w.hungJobs, func(_ mothferry.JobID, at time.Time) bool { return now.Sub(at) > hangDecayTime })
	return len(w.hungJobs)
}

// speedOf returns a worker's speed by the current evidence of its tasks.
func (s *State) speedOf(w *worker, now time.Time) mfspeed.Speed {
	s.evidence.Reset()
	for _, t := range w.tasks {
		if t.phase == phaseRunning {
			s.evidence.Add(&t.track, now)
		}
	}
	s.evidence.AddEnded(&w.speed, now)
	return s.evidence.Speed()
}

// setSlowStatus sets a worker's status and logs when it becomes degraded or no longer is.
func (s *State) setSlowStatus(w *worker, v mfstraggler.Status) {
	was := w.slowStatus.Degraded()
	w.slowStatus = v
	if was == v.Degraded() {
		return
	}
	d := Decision{Message: MessageNoLongerSlow, Worker: w.at.Worker, Fields: map[string]any{
		"service": w.Service, "speed": round(v.Speed.Relative), "uncertainty": round(v.Speed.Uncertainty), "runs": v.Speed.Runs, "hanging": v.Hanging,
	}}
	if v.Degraded() {
		d.Message = MessageSlow
	}
	s.emit(d)
}

func round(v float64) float64 { return math.Round(v*100) / 100 }

// turnover is how fast the normal workers of a service free capacity, and how much waits for it.
type turnover struct {
	// freedPerSecond is how many millicores per second ending tasks free there; waiting is the
	// millicores of the tasks that wait for them.
	freedPerSecond, waiting int64
}

// turnoverOf returns the turnover of a service's normal workers, or nil if no worker is degraded.
func (s *State) turnoverOf(workers []*worker) *turnover {
	if !s.anySlow {
		return nil
	}
	r, slow := &turnover{}, false
	for _, w := range workers {
		if w.slowStatus.Degraded() {
			slow = true
			continue
		}
		for _, t := range w.tasks {
			if t.measuresSpeed() && t.phase == phaseRunning {
				r.freedPerSecond += int64(t.step.spec.Reservation().Cores) * int64(time.Second) / int64(t.step.spec.Estimate)
			}
		}
	}
	if !slow {
		return nil
	}
	return r
}

// shouldWait reports whether a task should wait for free capacity on a normal worker rather than
// start on the worker that was chosen for it.
func (r *turnover) shouldWait(t *task, w *worker, now time.Time) bool {
	if r == nil || !w.slowStatus.Degraded() || !t.measuresSpeed() || r.freedPerSecond <= 0 {
		return false
	}
	cores := int64(t.step.spec.Reservation().Cores)
	wait := time.Duration(float64(r.waiting+cores) / float64(r.freedPerSecond) * float64(time.Second))
	p := t.step
	if p.heldSince.IsZero() {
		p.heldSince = now
	}
	if !mfstraggler.WaitForNormal(p.spec.Estimate, now.Sub(p.heldSince)+wait, w.slowStatus.RelativeSpeed()) {
		return false
	}
	r.waiting += cores * int64(max(1, p.waiting))
	return true
}

// SlowWorker is a degraded worker: a slow one, or one on which tasks hang.
type SlowWorker struct {
	Service mothferry.ServiceID
	Worker  mothferry.WorkerID
	// Speed is relative to the worker's peers; 1 is normal.
	Speed float64
}

// SlowWorkers returns the degraded workers, ordered by id.
func (s *State) SlowWorkers() []SlowWorker {
	var out []SlowWorker
	for _, w := range s.sortedWorkers {
		if w.slowStatus.Degraded() {
			out = append(out, SlowWorker{Service: w.Service, Worker: w.at.Worker, Speed: w.slowStatus.RelativeSpeed()})
		}
	}
	return out
}
