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

// A job's worth: a part of its own, and a part by its work against the mean of
// its queue, up to some times as much.
const (
	baseWeight = 0.3
	workWeight = 0.7
	maxWeight  = 4
)

// jobResult is one job's end.
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
			// Of a job that can't be done nobody expects anything.
			continue
		}
		f.Jobs++
		inTime := f.countJob(c, w.objective(c))
		q := c.submission.Queue
		byQueue[q] = append(byQueue[q], jobResult{work: c.work(), onTime: inTime})
	}
	f.scoreQueues(byQueue)
	return f
}

func (w *World) objective(c *jobRecord) time.Duration {
	q := w.Queues[c.submission.Queue]
	return mfjob.Objective(q.Stretch, q.Latency, c.criticalPath())
}

// countJob counts one job and reports whether it was in time.
func (f *Stats) countJob(c *jobRecord, aim time.Duration) bool {
	took := c.completed.Sub(c.submission.Accepted)
	switch {
	case c.state == mfjob.StateFailed:
		f.Failed++
	case c.state != mfjob.StateCompleted:
		f.TooLate++
	case took <= aim:
		f.OnTime++
		return true
	case took <= mfjob.TooLateFactor*aim:
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
	owed, earned, wide, wideInTime := 0.0, 0.0, 0, 0
	f.OnTimeByQueue = map[mothferry.QueueID]float64{}
	for _, q := range slices.Sorted(maps.Keys(byQueue)) {
		jobs := byQueue[q]
		slices.SortFunc(jobs, func(a, b jobResult) int { return cmp.Compare(b.work, a.work) })
		mean, queueInTime := 0.0, 0
		for _, j := range jobs {
			if j.onTime {
				queueInTime++
			}
			mean += j.work / float64(len(jobs))
		}
		f.OnTimeByQueue[q] = float64(queueInTime) / float64(len(jobs))
		for i, j := range jobs {
			worth := min(maxWeight, baseWeight+workWeight*j.work/mean)
			owed += worth
			if j.onTime {
				earned += worth
			}
			if i < (len(jobs)+9)/10 {
				wide++
				if j.onTime {
					wideInTime++
				}
			}
		}
	}
	if owed > 0 {
		f.WeightedOnTime = earned / owed
	}
	if wide > 0 {
		f.LargestOnTime = float64(wideInTime) / float64(wide)
	}
}

// OnTimeFraction returns the part of an account's jobs that were completed in time.
func (w *World) OnTimeFraction(account mothferry.AccountID) float64 {
	jobs, inTime := 0, 0
	for _, c := range w.jobs {
		if c.submission.Account != account {
			continue
		}
		jobs++
		if c.state == mfjob.StateCompleted && c.completed.Sub(c.submission.Accepted) <= w.objective(c) {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, jobs))
}
