package mfsched

import (
	"cmp"
	"slices"
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
	job     *job
	service mothferry.ServiceID
	// priority is that of the job's queue, advised reports whether the adviser decides which
	// workers may run its steps.
	priority int
	advised  bool
	class    deadlineClass
	// slack is how much longer the job can wait without leaving its class; negative if it is
	// too late.
	slack time.Duration
	// urgency orders the candidates that can be on time.
	urgency float64
	steps   []*step
	// tried reports whether this round has already tried to place the candidate.
	tried bool
}

// classify returns the deadline class and slack of an occurrence of a job.
func (s *State) classify(j *job, o *occurrence, q Queue, now time.Time) (deadlineClass, time.Duration) {
	if j.lasts {
		return classLasting, 0
	}
	start := j.submission.Accepted
	if !o.scheduledAt.IsZero() {
		start = o.scheduledAt
	}
	remaining := o.remainingPath(j)
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
func (s *State) candidates(now time.Time) map[mothferry.ServiceID][]*candidate {
	r := &s.candidateBuffer
	r.reset()
	for _, j := range s.live {
		if len(j.occurrences) == 0 {
			continue
		}
		q := s.queueOf(j)
		for _, o := range j.occurrences {
			if o.scheduledAt.After(now) {
				break
			}
			first := len(r.steps)
			r.steps = appendReadySteps(r.steps, o)
			if len(r.steps) == first {
				continue
			}
			c := candidate{job: j, service: q.Service, priority: q.Priority, advised: q.Advised, steps: r.steps[first:len(r.steps):len(r.steps)]}
			markReady(c.steps, now)
			c.class, c.slack = s.classify(j, o, q, now)
			c.urgency = urgency(c.slack, remainingWork(o))
			r.candidates = append(r.candidates, c)
		}
	}
	byService := map[mothferry.ServiceID][]*candidate{}
	for i := range r.candidates {
		c := &r.candidates[i]
		byService[c.service] = append(byService[c.service], c)
	}
	for _, list := range byService {
		slices.SortFunc(list, compareCandidates)
	}
	return byService
}

// candidateBuffer holds the memory of the candidates of a round, which the next round uses again.
type candidateBuffer struct {
	candidates []candidate
	steps      []*step
}

// reset empties the buffer, without references to jobs that have ended.
func (r *candidateBuffer) reset() {
	clear(r.candidates)
	clear(r.steps)
	r.candidates, r.steps = r.candidates[:0], r.steps[:0]
}

// compareCandidates orders candidates by class; those on time by urgency, the others by the
// queue's priority and then by slack.
func compareCandidates(a, b *candidate) int {
	switch {
	case a.class != b.class:
		return cmp.Compare(a.class, b.class)
	case a.priority != b.priority && a.class != classOnTime:
		return cmp.Compare(a.priority, b.priority)
	case a.class == classOnTime && a.urgency != b.urgency:
		return cmp.Compare(a.urgency, b.urgency)
	case a.slack != b.slack:
		return cmp.Compare(a.slack, b.slack)
	default:
		return cmp.Compare(a.job.id, b.job.id)
	}
}

// urgency orders jobs that can be on time; the lowest goes first. Ordering by slack alone
// fails under overload: capacity then goes to jobs that all miss their objectives by a little.
// Jobs that are small or nearly done free capacity soonest.
func urgency(slack time.Duration, remainingWork float64) float64 {
	return slack.Seconds() + weightRemainingWork*remainingWork
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

// remainingPath returns the length of the critical path through the steps that are not done. It is
// computed again once more steps are done.
func (o *occurrence) remainingPath(j *job) time.Duration {
	open := 0
	for _, p := range o.steps {
		if p.remaining > 0 {
			open++
		}
	}
	if open != o.pathSteps {
		o.pathSteps = open
		o.path = j.submission.RemainingCriticalPath(func(step int) bool { return o.steps[step].remaining == 0 })
	}
	return o.path
}

// readySteps returns the steps of an occurrence that have waiting tasks and whose dependencies
// are done.
func readySteps(o *occurrence) []*step { return appendReadySteps(nil, o) }

func appendReadySteps(out []*step, o *occurrence) []*step {
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
