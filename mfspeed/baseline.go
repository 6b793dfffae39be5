package mfspeed

import (
	"math"
	"slices"
	"time"

	"mothferry"
)

// Class says which tasks are alike: their estimates are wrong by the same factor.
type Class struct {
	// Image is what they run; Queue and Step stand for it where it is not told.
	Image string
	Queue mothferry.QueueID
	Step  int
	// Remote says that they run away from their data.
	Remote bool
}

const (
	// maxRunsPerWorker is how many runs of a kind are remembered of each worker, the latest ones: were
	// they the latest of all workers, those of slow ones, which come last where many start at
	// once, would be all of them.
	maxRunsPerWorker = 4
	// maxRunAge is for how long a run is remembered, and so a kind that is not seen again.
	maxRunAge = 10 * time.Minute
	// updateDivisor is the part of a kind's runs that must have changed before what is usual is told
	// anew.
	updateDivisor = 16
	// minRuns of leastWorkers workers tell what is usual for a kind.
	minRuns    = 8
	minWorkers = 3
	// minSpread bounds the spread of a kind below: readings are rounded and late.
	minSpread = 0.15
	// minLogChange is by how much the logarithm of a run's rate must change for its worker to
	// have changed: beyond what whole percentages make of it.
	minLogChange = 0.7
	// madToStdDev turns a median absolute deviation into a standard deviation.
	madToStdDev = 1.4826
)

// Baselines holds what is usual for each kind. The zero value knows nothing.
type Baselines struct {
	byClass map[Class]*baseline
}

type baseline struct {
	// runs holds the latest runs of each worker, the oldest first; count is how many those are,
	// fresh how many came since the last sum.
	runs               map[mothferry.WorkerID][]recordedRun
	count, sinceUpdate int
	// median is the median rate, spread the robust standard deviation; known says that there
	// are runs enough.
	median, spread float64
	known          bool
	// jobMedians holds the median rate of each job that has runs enough by itself.
	jobMedians map[mothferry.JobID]float64
}

type recordedRun struct {
	rate float64
	at   time.Time
	job  mothferry.JobID
}

// RunInfo is what is known of a run beside its progress.
type RunInfo struct {
	Class    Class
	Worker   mothferry.WorkerID
	Job      mothferry.JobID
	Estimate time.Duration
}

// Record takes in that a track has a new rate: for what is usual for its kind, once, and for what
// it tells of its worker.
//
// Tasks that take several times as long as others are rare among those that start, and frequent
// among those that run, the more so when little starts. So a run tells of its worker's speed for
// as long only as a usual one takes; later, only that it has become slower or faster.
func (k *Baselines) Record(r RunInfo, t *Track, now time.Time) {
	k.recordRun(r, t, now)
	deviation, spread, known := k.Deviation(r.Class, t.rate)
	if !known {
		return
	}
	if !t.hasFirst {
		t.firstDeviation, t.hasFirst = deviation, true
	}
	usual, _ := k.Expected(r.Class, r.Estimate)
	told := observation{spread: spread, job: r.Job, at: now}
	switch change := deviation - t.firstDeviation; {
	case t.elapsed(r.Estimate) <= usual:
		told.deviation = deviation
		own, several := k.byClass[r.Class].jobMedians[r.Job]
		told.conclusive = several && float64(t.rate)-own < -minLogChange
	case change < -minLogChange:
		told.deviation, told.conclusive = change, true
	case change <= minLogChange:
		return
	}
	t.observed = told
}

func (k *Baselines) recordRun(r RunInfo, t *Track, now time.Time) {
	if t.counted || !t.known {
		return
	}
	t.counted = true
	if k.byClass == nil {
		k.byClass = map[Class]*baseline{}
	}
	v := k.byClass[r.Class]
	if v == nil {
		v = &baseline{runs: map[mothferry.WorkerID][]recordedRun{}}
		k.byClass[r.Class] = v
	}
	runs := v.runs[r.Worker]
	if len(runs) == maxRunsPerWorker {
		runs = slices.Delete(runs, 0, 1)
		v.count--
	}
	v.runs[r.Worker] = append(runs, recordedRun{rate: float64(t.rate), at: now, job: r.Job})
	v.count++
	v.sinceUpdate++
}

// Expire forgets the runs that were noted long before a time, and the kinds of which no other is
// known.
func (k *Baselines) Expire(now time.Time) {
	for of, v := range k.byClass {
		v.expire(now.Add(-maxRunAge))
		if v.count == 0 {
			delete(k.byClass, of)
		}
	}
}

func (v *baseline) expire(before time.Time) {
	for worker, runs := range v.runs {
		left := slices.DeleteFunc(runs, func(r recordedRun) bool { return r.at.Before(before) })
		v.count -= len(runs) - len(left)
		v.sinceUpdate += len(runs) - len(left)
		if v.runs[worker] = left; len(left) == 0 {
			delete(v.runs, worker)
		}
	}
}

// Deviation returns a rate's difference from what is usual for its kind, with the spread of
// such differences among runs of the kind. It reports whether the kind is known.
func (k *Baselines) Deviation(of Class, rate LogRate) (deviation, spread float64, known bool) {
	v := k.byClass[of]
	if v == nil {
		return 0, 0, false
	}
	v.update()
	return float64(rate) - v.median, v.spread, v.known
}

func (v *baseline) update() {
	if v.sinceUpdate*updateDivisor <= v.count && (v.known || v.sinceUpdate == 0) {
		return
	}
	v.sinceUpdate = 0
	if v.known = v.count >= minRuns && len(v.runs) >= minWorkers; !v.known {
		return
	}
	rates := make([]float64, 0, v.count)
	for _, runs := range v.runs {
		for _, r := range runs {
			rates = append(rates, r.rate)
		}
	}
	v.median = median(rates)
	for i := range rates {
		rates[i] = math.Abs(rates[i] - v.median)
	}
	v.spread = max(minSpread, madToStdDev*median(rates))
	v.updateJobs()
}

func (v *baseline) updateJobs() {
	rates, workers := map[mothferry.JobID][]float64{}, map[mothferry.JobID]int{}
	for _, runs := range v.runs {
		for i, r := range runs {
			rates[r.job] = append(rates[r.job], r.rate)
			if !slices.ContainsFunc(runs[:i], func(o recordedRun) bool { return o.job == r.job }) {
				workers[r.job]++
			}
		}
	}
	v.jobMedians = map[mothferry.JobID]float64{}
	for job, list := range rates {
		if len(list) >= minRuns && workers[job] >= minWorkers {
			v.jobMedians[job] = median(list)
		}
	}
}

// median sorts values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// Expected returns how long a task of a kind usually takes by its estimate. It reports whether
// the kind is known.
func (k *Baselines) Expected(of Class, estimate time.Duration) (time.Duration, bool) {
	v := k.byClass[of]
	if v == nil {
		return 0, false
	}
	v.update()
	return time.Duration(float64(estimate) * math.Exp(-v.median)), v.known
}
