package mfshare

import (
	"math"
	"time"

	"mothferry/mfdecay"
)

// Reason is why a job is refused.
type Reason string

// Reasons.
const (
	// ReasonLimit: the account's limit on running tasks keeps its work waiting.
	ReasonLimit Reason = "limit"
	// ReasonShare: the account's share of the service can't complete the job in time.
	ReasonShare Reason = "share"
)

// Request is a submitted job.
type Request struct {
	Flow
	// Work is the job's work in core-seconds.
	Work float64
	// CriticalPath is the duration of its longest chain of work, Objective the time in which
	// it should be completed.
	CriticalPath, Objective time.Duration
}

// Decision is the result for a request.
type Decision struct {
	// Refused is empty if the job is accepted.
	Refused Reason
	// Wait is how long the job would wait, Share the cores to which its account is entitled.
	Wait  time.Duration
	Share float64
	// RetryAfter is when the job could be on time if it is submitted again.
	RetryAfter time.Duration
}

const (
	// maxWaitFraction is the fraction of the time between a job's critical path and its
	// objective that its wait may take. A queue as long as all of that time has each job in it
	// miss its objective by a little.
	maxWaitFraction = 0.6
	// rateDecayTime is how long accepted work counts when this host's fraction of its
	// account's work is estimated.
	rateDecayTime = 3 * time.Second
	// minHostFraction is the lower bound of that fraction: a few jobs are no basis for a
	// smaller one.
	minHostFraction = 0.02
	// reportDelay is how long accepted work takes until the owner's allocation includes it.
	reportDelay = 150 * time.Millisecond
	// acceptedRetention is how long a controller remembers the work that it accepted: until
	// every allocation that is still used includes it.
	acceptedRetention = 3 * time.Second
	// maxRetryHorizon bounds how far ahead the retry times of refused jobs are staggered.
	maxRetryHorizon = 10 * time.Second
	// maxFlows bounds the flows that a controller remembers.
	maxFlows = 4096
)

// AdmissionController decides at one host which jobs are accepted, by the owner's last
// allocation and the work that the host has accepted since. The zero value is ready for use;
// it is not safe for concurrent use.
type AdmissionController struct {
	flows map[Flow]*flowHistory
}

// flowHistory is what a controller has accepted of a flow.
type flowHistory struct {
	accepted []acceptedWork
	rate     mfdecay.Sum
	// nextRetry is the earliest retry time for the next refused job.
	nextRetry time.Time
}

type acceptedWork struct {
	at   time.Time
	work float64
}

// Decide accepts or refuses a request. Published is the owner's last allocation, which this
// host has had since the given time.
//
// If all work of an account that sends more than its share were accepted, all of it would be
// late; a caller that is refused at once can retry when there is capacity. A few dozen hosts
// decide by the same allocation: each adds what it has accepted since, scaled by its fraction
// of the account's accepted work.
func (c *AdmissionController) Decide(published Allocation, since time.Time, r Request, now time.Time) Decision {
	h := c.historyOf(r.Flow, now)
	f, known := published[r.Flow]
	d := Decision{Share: f.Rate}
	if known {
		d.Wait = f.expectedWait(r.Work, h.currentWait(f, since, now))
	}
	if !known || float64(d.Wait) <= maxWaitFraction*float64(r.Objective-r.CriticalPath) {
		h.accepted = append(h.accepted, acceptedWork{at: now, work: r.Work})
		h.rate.Add(r.Work, rateDecayTime, now)
		return d
	}
	d.Refused = ReasonShare
	if f.AtLimit {
		d.Refused = ReasonLimit
	}
	d.RetryAfter = h.retryAfter(f, d.Wait-time.Duration(maxWaitFraction*float64(r.Objective-r.CriticalPath)), r.Work, now)
	return d
}

// agingWork is the work in core-seconds by which a waiting job ranks ahead of an equally large
// one that arrives a second later: placement weighs that much work like a second of slack.
const agingWork = 25

// maxOvertakingFraction bounds the fraction of a rate that smaller jobs arriving later take:
// large jobs would otherwise never be accepted under lasting overload.
const maxOvertakingFraction = 0.6

// expectedWait returns how long a job of the given work waits. Queued jobs go before it unless
// they are larger; of those that arrive meanwhile only smaller ones do.
func (f FlowShare) expectedWait(work float64, wait time.Duration) time.Duration {
	if f.MeanJobWork <= 0 || f.Rate <= 0 {
		return wait
	}
	rest := 1 - min(maxOvertakingFraction, f.workFractionBelow(work-agingWork/2)*f.AcceptedRate/f.Rate)
	return min(maxWait, time.Duration(float64(wait)*f.workFractionBelow(work+agingWork)/rest))
}

// workFractionBelow returns the fraction of the account's work in jobs below a size. Sizes are
// assumed to be exponentially distributed about their mean.
func (f FlowShare) workFractionBelow(work float64) float64 {
	size := max(0, work) / f.MeanJobWork
	return 1 - (1+size)*math.Exp(-size)
}

// currentWait returns a flow's wait as of now: the published wait less the time since, plus
// the time for the work that all hosts are estimated to have accepted since.
func (h *flowHistory) currentWait(f FlowShare, since, now time.Time) time.Duration {
	own, first := 0.0, 0.0
	for _, a := range h.accepted {
		if a.at.After(since.Add(-reportDelay)) {
			if first == 0 {
				first = a.work
			}
			own += a.work
		}
	}
	// A single job may have arrived by chance: only the work beyond it says something about
	// other hosts.
	extrapolated := (own - first) / h.hostFraction(f, now)
	expected := f.AcceptedRate * now.Sub(since).Seconds()
	return max(0, f.Wait-now.Sub(since)) + durationAt(max(own, expected, extrapolated), f.Rate)
}

// hostFraction returns the fraction of its account's work that this host accepts.
func (h *flowHistory) hostFraction(f FlowShare, now time.Time) float64 {
	own := h.rate.Rate(rateDecayTime, now)
	if f.AcceptedRate <= own {
		return 1
	}
	return max(minHostFraction, own/f.AcceptedRate)
}

// retryAfter returns when a refused job could be on time. The times of jobs refused one after
// another are spaced as the account's share completes their work.
func (h *flowHistory) retryAfter(f FlowShare, minDelay time.Duration, work float64, now time.Time) time.Duration {
	first := now.Add(minDelay)
	if h.nextRetry.Before(first) {
		h.nextRetry = first
	}
	at := h.nextRetry.Sub(now)
	if next := h.nextRetry.Add(durationAt(work/h.hostFraction(f, now), f.Rate)); next.Sub(now) <= maxRetryHorizon {
		h.nextRetry = next
	} else {
		h.nextRetry = first
	}
	return at
}

// historyOf returns what was accepted of a flow, without what is too old to count.
func (c *AdmissionController) historyOf(f Flow, now time.Time) *flowHistory {
	h, ok := c.flows[f]
	if !ok {
		if c.flows == nil || len(c.flows) >= maxFlows {
			c.flows = map[Flow]*flowHistory{}
		}
		h = &flowHistory{}
		c.flows[f] = h
	}
	expired := 0
	for expired < len(h.accepted) && now.Sub(h.accepted[expired].at) > acceptedRetention {
		expired++
	}
	h.accepted = h.accepted[expired:]
	return h
}
