package mfsched

import (
	"sort"
	"time"

	"mothferry"
	"mothferry/mfjob"
)

// deadlineClass is what can still become of a job.
type deadlineClass int

const (
	// classLasting: a lasting job, which earns all the time that it is at work.
	classLasting deadlineClass = iota
	// classOnTime: its objective can be reached.
	classOnTime
	// classOverRate: it could be in time, and is beyond what its account is owed.
	classOverRate
	// classLate: it can still be late rather than too late.
	classLate
	// classTooLate: nobody gains by it any more.
	classTooLate
)

// candidate is a job with tasks that could start now.
type candidate struct {
	job   *job
	queue Queue
	class deadlineClass
	// slack is how much longer the job can wait and still be in time.
	slack time.Duration
	// remainingWork is the work that is not done, in core-seconds.
	remainingWork float64
	steps         []*step
	// tried says that this round has placed what it could of it.
	tried bool
}

// classify judges a job's prospect and slack. For a job with occurrences the
// earliest one that is due and not done counts.
func (s *State) classify(j *job, o *occurrence, q Queue, now time.Time) (deadlineClass, time.Duration) {
	if j.submission.Lasts() {
		return classLasting, 0
	}
	begun := j.submission.Accepted
	if !o.scheduledAt.IsZero() {
		begun = o.scheduledAt
	}
	left := j.submission.ChainFrom(func(step int) bool { return o.steps[step].remaining == 0 })
	aim := mfjob.Objective(q.Stretch, q.Latency, j.criticalPath)
	slack := begun.Add(aim).Sub(now) - left
	late := begun.Add(mfjob.LateFactor*aim).Sub(now) - left
	switch {
	case j.overRate && slack >= 0:
		return classOverRate, slack
	case slack >= 0:
		return classOnTime, slack
	case late >= 0:
		return classLate, late
	default:
		return classTooLate, late
	}
}

// candidates returns the jobs of each service that could start tasks now, in
// the order in which they get room.
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

// candidateLess orders candidates: what serves first, then what can be in time by
// urgency, then what can be late, then the rest.
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

// urgency orders jobs that can be in time: the smaller goes first. Slack alone
// does not do where there is more work than room: the room then goes to jobs
// that all miss by a little. What is nearly done, or small, gives room back
// soonest. More weight gives little and costs the wide ones.
func (c candidate) urgency() float64 {
	return c.slack.Seconds() + weightRemainingWork*c.remainingWork
}

// weightRemainingWork is how many seconds of slack a core-second of remaining work is worth.
const weightRemainingWork = 0.04

// remainingWork returns the work of an occurrence that is not done.
func remainingWork(o *occurrence) float64 {
	left := 0.0
	for _, p := range o.steps {
		left += coreSeconds(p.spec) * float64(p.remaining)
	}
	return left
}

// readySteps returns the steps of an occurrence whose turn has come and that have
// tasks to start.
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

func dependenciesDone(o *occurrence, p *step) bool {
	for _, a := range p.spec.After {
		if o.steps[a].remaining > 0 {
			return false
		}
	}
	return true
}
