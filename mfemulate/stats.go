package mfemulate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// A job's weight is baseWeight plus workWeight times its work relative to the mean of its
// queue, at most maxWeight.
const (
	baseWeight = 0.3
	workWeight = 0.7
	maxWeight  = 4
)

// jobResult is the work of one job and whether it finished on time.
type jobResult struct {
	work   float64
	onTime bool
}

// Summarize counts how jobs ended, by each queue's objective.
func (w *World) Summarize() Stats {
	f := w.Stats
	f.MachineSeconds = math.Round(f.MachineSeconds)
	f.Violations = len(w.Violations)
	byQueue := map[mothferry.QueueID][]jobResult{}
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		c := w.jobs[id]
		if c.submission.Lasts() || !c.cancelled.IsZero() || c.crashingTask != nil {
			// Jobs with a crashing task cannot complete and are not counted, like cancelled
			// and lasting ones.
			continue
		}
		f.Jobs++
		onTime := f.countJob(c, w.objective(c))
		q := c.submission.Queue
		byQueue[q] = append(byQueue[q], jobResult{work: c.work(), onTime: onTime})
	}
	f.scoreQueues(byQueue)
	return f
}

func (w *World) objective(c *jobRecord) time.Duration {
	q := w.Queues[c.submission.Queue]
	return mfjob.Objective(q.Stretch, q.Latency, c.criticalPath())
}

// countJob counts one job and reports whether it was on time.
func (f *Stats) countJob(c *jobRecord, objective time.Duration) bool {
	took := c.completed.Sub(c.submission.Accepted)
	switch {
	case c.state == mfjob.StateFailed:
		f.Failed++
	case c.state != mfjob.StateCompleted:
		f.TooLate++
	case took <= objective:
		f.OnTime++
		return true
	case took <= mfjob.TooLateFactor*objective:
		f.Late++
	default:
		f.TooLate++
	}
	return false
}

// work returns a job's work in core-seconds.
func (c *jobRecord) work() float64 {
	sum := 0.0
	for _, s := range c.submission.Steps {
		sum += float64(s.Count) * float64(s.Need.Cores) / 1000 * s.Estimate.Seconds()
	}
	return sum
}

func (f *Stats) scoreQueues(byQueue map[mothferry.QueueID][]jobResult) {
	totalWeight, onTimeWeight, largest, largestOnTime := 0.0, 0.0, 0, 0
	f.OnTimeByQueue = map[mothferry.QueueID]float64{}
	for _, q := range slices.Sorted(maps.Keys(byQueue)) {
		jobs := byQueue[q]
		slices.SortFunc(jobs, func(a, b jobResult) int { return cmp.Compare(b.work, a.work) })
		mean, queueOnTime := 0.0, 0
		for _, j := range jobs {
			if j.onTime {
				queueOnTime++
			}
			mean += j.work / float64(len(jobs))
		}
		f.OnTimeByQueue[q] = float64(queueOnTime) / float64(len(jobs))
		for i, j := range jobs {
			weight := min(maxWeight, baseWeight+workWeight*j.work/mean)
			totalWeight += weight
			if j.onTime {
				onTimeWeight += weight
			}
			if i < (len(jobs)+9)/10 {
				largest++
				if j.onTime {
					largestOnTime++
				}
			}
		}
	}
	if totalWeight > 0 {
		f.WeightedOnTime = onTimeWeight / totalWeight
	}
	if largest > 0 {
		f.LargestOnTime = float64(largestOnTime) / float64(largest)
	}
}

// OnTimeFraction returns the fraction of an account's jobs that completed on time.
func (w *World) OnTimeFraction(account mothferry.AccountID) float64 {
	jobs, onTime := 0, 0
	for _, c := range w.jobs {
		if c.submission.Account != account {
			continue
		}
		jobs++
		if c.state == mfjob.StateCompleted && c.completed.Sub(c.submission.Accepted) <= w.objective(c) {
			onTime++
		}
	}
	return float64(onTime) / float64(max(1, jobs))
}
