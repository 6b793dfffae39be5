package mfspeed

import (
	"math"
	"slices"
	"time"

	"mothferry"
)

// Class identifies tasks of one class: their estimates are wrong by the same factor.
type Class struct {
	// Image is what the tasks run; Queue and Step identify them if the image is unknown.
	Image string
	Queue mothferry.QueueID
	Step  int
	// Remote says that the tasks run without data locality.
	Remote bool
}

const (
	// maxRunsPerWorker bounds the latest runs of a class that are kept of each worker. If the
	// latest runs of all workers were kept instead, those of slow workers, which end last where
	// many tasks start at once, would displace all others.
	maxRunsPerWorker = 4
	// maxRunAge is how long a run is kept, and thus a class that has no new runs.
	maxRunAge = 10 * time.Minute
	// updateDivisor sets the fraction of a class's runs that must have changed before its baseline
	// is updated: more than one in 16.
	updateDivisor = 16
	// minRuns of minWorkers workers make a baseline.
	minRuns    = 8
	minWorkers = 3
	// minSpread is a lower bound on a class's spread, as readings are rounded and late.
	minSpread = 0.15
	// minLogChange is how much a run's log rate must differ from its earlier one, or from the
	// median of its job, for the difference to count: about a factor of two, which is more than
	// the rounding to whole percentages causes.
	minLogChange = 0.7
	// madToStdDev converts a median absolute deviation to a standard deviation.
	madToStdDev = 1.4826
)

// Baselines holds the baseline of each class. The zero value is empty.
type Baselines struct {
	byClass map[Class]*baseline
}

type baseline struct {
	// runs holds the latest runs of each worker, the oldest first; count is their number,
	// sinceUpdate how many were added or removed since the last update.
	runs               map[mothferry.WorkerID][]recordedRun
	count, sinceUpdate int
	// median is the median log rate, spread a robust standard deviation; known says that there are
	// enough runs.
	median, spread float64
	known          bool
	// jobMedians holds the median log rate of each job that has enough runs of its own.
	jobMedians map[mothferry.JobID]float64
}

type recordedRun struct {
	rate float64
	at   time.Time
	job  mothferry.JobID
}

// RunInfo describes a run, apart from its progress.
type RunInfo struct {
	Class    Class
	Worker   mothferry.WorkerID
	Job      mothferry.JobID
	Estimate time.Duration
}

// Record records a track's new rate: once for the baseline of its class, and as evidence of its
// worker's speed.
//
// Tasks that take several times as long as others are rare among those that start, but frequent
// among those that are running, above all when few start. Therefore a run's rate is evidence only
// until the expected duration of its class. Later, only a change of the rate is: if it fell, by how
// much it fell; if it rose, the run is evidence of normal speed.
func (b *Baselines) Record(r RunInfo, t *Track, now time.Time) {
	b.recordRun(r, t, now)
	deviation, spread, known := b.Deviation(r.Class, t.rate)
	if !known {
		return
	}
	if !t.hasFirst {
		t.firstDeviation, t.hasFirst = deviation, true
	}
	expected, _ := b.Expected(r.Class, r.Estimate)
	o := observation{spread: spread, job: r.Job, at: now}
	switch change := deviation - t.firstDeviation; {
	case t.elapsed(r.Estimate) <= expected:
		o.deviation = deviation
		jobMedian, hasMedian := b.byClass[r.Class].jobMedians[r.Job]
		o.conclusive = hasMedian && float64(t.rate)-jobMedian < -minLogChange
	case change < -minLogChange:
		o.deviation, o.conclusive = change, true
	case change <= minLogChange:
		return
	}
	t.observed = o
}

func (b *Baselines) recordRun(r RunInfo, t *Track, now time.Time) {
	if t.counted || !t.known {
		return
	}
	t.counted = true
	if b.byClass == nil {
		b.byClass = map[Class]*baseline{}
	}
	bl := b.byClass[r.Class]
	if bl == nil {
		bl = &baseline{runs: map[mothferry.WorkerID][]recordedRun{}}
		b.byClass[r.Class] = bl
	}
	runs := bl.runs[r.Worker]
	if len(runs) == maxRunsPerWorker {
		runs = slices.Delete(runs, 0, 1)
		bl.count--
	}
	bl.runs[r.Worker] = append(runs, recordedRun{rate: float64(t.rate), at: now, job: r.Job})
	bl.count++
	bl.sinceUpdate++
}

// Expire removes the runs that are too old, and the classes that have no runs left.
func (b *Baselines) Expire(now time.Time) {
	for class, bl := range b.byClass {
		bl.expire(now.Add(-maxRunAge))
		if bl.count == 0 {
			delete(b.byClass, class)
		}
	}
}

func (bl *baseline) expire(before time.Time) {
	for worker, runs := range bl.runs {
		left := slices.DeleteFunc(runs, func(r recordedRun) bool { return r.at.Before(before) })
		bl.count -= len(runs) - len(left)
		bl.sinceUpdate += len(runs) - len(left)
		if bl.runs[worker] = left; len(left) == 0 {
			delete(bl.runs, worker)
		}
	}
}

// Deviation returns a log rate's difference from the baseline of its class, and the spread of such
// differences among the runs of the class. It reports whether the class has a baseline.
func (b *Baselines) Deviation(class Class, rate LogRate) (deviation, spread float64, known bool) {
	bl := b.byClass[class]
	if bl == nil {
		return 0, 0, false
	}
	bl.update()
	return float64(rate) - bl.median, bl.spread, bl.known
}

func (bl *baseline) update() {
	if bl.sinceUpdate*updateDivisor <= bl.count && (bl.known || bl.sinceUpdate == 0) {
		return
	}
	bl.sinceUpdate = 0
	if bl.known = bl.count >= minRuns && len(bl.runs) >= minWorkers; !bl.known {
		return
	}
	rates := make([]float64, 0, bl.count)
	for _, runs := range bl.runs {
		for _, r := range runs {
			rates = append(rates, r.rate)
		}
	}
	bl.median = median(rates)
	for i := range rates {
		rates[i] = math.Abs(rates[i] - bl.median)
	}
	bl.spread = max(minSpread, madToStdDev*median(rates))
	bl.updateJobs()
}

// updateJobs computes the medians of jobs. Most jobs have too few runs for one, so that these are
// counted first.
func (bl *baseline) updateJobs() {
	counts := make(map[mothferry.JobID]int, len(bl.runs))
	for _, runs := range bl.runs {
		for i := range runs {
			counts[runs[i].job]++
		}
	}
	rates, workers := map[mothferry.JobID][]float64{}, map[mothferry.JobID]int{}
	for _, runs := range bl.runs {
		for i, r := range runs {
			if counts[r.job] < minRuns {
				continue
			}
			rates[r.job] = append(rates[r.job], r.rate)
			if !slices.ContainsFunc(runs[:i], func(o recordedRun) bool { return o.job == r.job }) {
				workers[r.job]++
			}
		}
	}
	bl.jobMedians = map[mothferry.JobID]float64{}
	for job, list := range rates {
		if workers[job] >= minWorkers {
			bl.jobMedians[job] = median(list)
		}
	}
}

// median sorts values and returns the middle one.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// Expected returns how long a task of a class usually takes, given its estimate. It reports
// whether the class has a baseline.
func (b *Baselines) Expected(class Class, estimate time.Duration) (time.Duration, bool) {
	bl := b.byClass[class]
	if bl == nil {
		return 0, false
	}
	bl.update()
	return time.Duration(float64(estimate) * math.Exp(-bl.median)), bl.known
}
