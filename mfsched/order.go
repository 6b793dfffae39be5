package mfsched

import (
	"sort"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// deadlineClass classifies a job by the best outcome that it can still have. Lower classes go
// first.
type deadlineClass int

const (
	// classLasting: a lasting job, which is useful for as long as it runs.
	classLasting deadlineClass = iota
	// classOnTime: it can still meet its objective.
	classOnTime
	// classOverRate: it can still meet its objective, but exceeds its account's rate.
	classOverRate
	// classLate: it can no longer be on time, but can still finish late rather than too late.
	classLate
	// classTooLate: its result is no longer useful.
	classTooLate
)

// candidate is an occurrence of a job with tasks that could start now.
type candidate struct {
	job   *job
	queue Queue
	class deadlineClass
	// slack is how much longer the job can wait without leaving its class; negative if it is
	// too late.
	slack time.Duration
	// remainingWork is the work that is not done, in core-seconds.
	remainingWork float64
	steps         []*step
	// tried reports whether this round has already tried to place the candidate.
	tried bool
}

// classify returns the deadline class and slack of an occurrence of a job.
func (s *State) classify(j *job, o *occurrence, q Queue, now time.Time) (deadlineClass, time.Duration) {
	if j.submission.Lasts() {
		return classLasting, 0
	}
	start := j.submission.Accepted
	if !o.scheduledAt.IsZero() {
		start = o.scheduledAt
	}
	remaining := j.submission.RemainingCriticalPath(func(step int) bool { return o.steps[step].remaining == 0 })
	objective := mfjob.Objective(q.Stretch, q.Latency, j.criticalPath)
	slack := start.Add(objective).Sub(now) - remaining
	lateSlack := start.Add(mfjob.TooLateFactor*objective).Sub(now) - remaining
	switch {
	case j.overRate && slack >= 0:
		return classOverRate, slack
	case slack >= 0:
		return classOnTime, slack
	case lateSlack >= 0:
		return classLate, lateSlack
	default:
		return classTooLate, lateSlack
	}
}

// candidates returns the occurrences of jobs of each service that could start tasks now, in the
// order of placement.
func (s *State) candidates(now time.Time) map[mothferry.ServiceID][]candidate {
	byService := map[mothferry.ServiceID][]candidate{}
	for _, j := range s.live {
		q := s.queueOf(j)
		for _, o := range j.occurrences {
			if o.scheduledAt.After(now) {
				break
			}
			steps := readySteps(o)
			if len(steps) == 0 {
				continue
			}
			c := candidate{job: j, queue: q, steps: steps}
			markReady(steps, now)
			c.class, c.slack = s.classify(j, o, q, now)
			c.remainingWork = remainingWork(o)
			byService[q.Service] = append(byService[q.Service], c)
		}
	}
	for _, list := range byService {
		sort.Slice(list, func(a, b int) bool { return candidateLess(list[a], list[b]) })
	}
	return byService
}

// candidateLess orders candidates by class; those on time by urgency, the others by the
// queue's priority and then by slack.
func candidateLess(a, b candidate) bool {
	switch {
	case a.class != b.class:
		return a.class < b.class
	case a.queue.Priority != b.queue.Priority && a.class != classOnTime:
		return a.queue.Priority < b.queue.Priority
	case a.class == classOnTime && a.urgency() != b.urgency():
		return a.urgency() < b.urgency()
	case a.slack != b.slack:
		return a.slack < b.slack
	default:
		return a.job.id < b.job.id
	}
}

// urgency orders jobs that can be on time; the lowest goes first. Ordering by slack alone
// fails under overload: capacity then goes to jobs that all miss their objectives by a little.
// Jobs that are small or nearly done free capacity soonest.
func (c candidate) urgency() float64 {
	return c.slack.Seconds() + weightRemainingWork*c.remainingWork
}

// weightRemainingWork is how many seconds of slack a core-second of remaining work is worth. A
// larger weight gains little and delays large jobs. The agingWork of mfshare is its inverse.
const weightRemainingWork = 0.04

// remainingWork returns the work of an occurrence that is not done, in core-seconds.
func remainingWork(o *occurrence) float64 {
	sum := 0.0
	for _, p := range o.steps {
		sum += coreSeconds(p.spec) * float64(p.remaining)
	}
	return sum
}

// readySteps returns the steps of an occurrence that have waiting tasks and whose dependencies
// are done.
func readySteps(o *occurrence) []*step {
	var out []*step
	for _, p := range o.steps {
		if p.waiting == 0 {
			continue
		}
		if dependenciesDone(o, p) {
			out = append(out, p)
		}
	}
	return out
}

// markReady records when steps became ready.
func markReady(steps []*step, now time.Time) {
	for _, p := range steps {
		if p.readyAt.IsZero() {
			p.readyAt = now
		}
	}
}

func dependenciesDone(o *occurrence, p *step) bool {
	for _, a := range p.spec.After {
		if o.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}
