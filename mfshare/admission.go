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
	// ReasonLimit: its account's limit on what runs keeps its work waiting.
	ReasonLimit Reason = "limit"
	// ReasonShare: its account's share of the service does not do it in time.
	ReasonShare Reason = "share"
)

// Request is a job that is handed in.
type Request struct {
	Flow
	// Work is what it takes, in core-seconds.
	Work float64
	// CriticalPath is its longest chain of work, Aim in what time it should be completed.
	CriticalPath, Objective time.Duration
}

// Decision is what a gate decides on a request.
type Decision struct {
	// Refused is empty if the job is taken in.
	Refused Reason
	// Wait is how long it would wait, Share the cores that are due to its account.
	Wait  time.Duration
	Share float64
	// RetryAfter is in what time it could be in time.
	RetryAfter time.Duration
}

// Figures of a gate.
const (
	// maxWaitFraction is which part of what an objective leaves beside a job's own work its wait may
	// take. A line as long as all of it has each job in it miss by a little.
	maxWaitFraction = 0.6
	// rateDecayTime is how long accepted work counts in this host's part of its account's.
	rateDecayTime = 3 * time.Second
	// minHostFraction bounds from below what part of an account's work a host takes itself for:
	// of few jobs it can't tell.
	minHostFraction = 0.02
	// reportDelay is how long accepted work takes until the owner's word counts it.
	reportDelay = 150 * time.Millisecond
	// acceptedRetention is how long a gate remembers what it accepted: until any word that is
	// still used counts it.
	acceptedRetention = 3 * time.Second
	// maxRetryHorizon bounds how far ahead a gate spreads those that it refuses.
	maxRetryHorizon = 10 * time.Second
	// maxFlows bounds what a gate remembers.
	maxFlows = 4096
)

// AdmissionController decides at one host which jobs are taken in, by the owner's last word and what it
// has accepted itself since. The zero value is ready for use; one goroutine uses it at a time.
type AdmissionController struct {
	flows map[Flow]*flowHistory
}

// flowHistory is what a gate let through of a flow.
type flowHistory struct {
	accepted []acceptedWork
	rate     mfdecay.Sum
	// nextRetry is up to when those have been told to come back that were refused.
	nextRetry time.Time
}

type acceptedWork struct {
	at   time.Time
	work float64
}

// Decide decides on a request. Told is the owner's last word, since when this host has it.
//
// The load it answers: an account sends more than its share can do in time. All of it
// taken in would make all of it late, and a caller that is turned away at once can come
// back when there is room. A few dozen hosts decide by the same word: each counts what it
// accepted since, in proportion to its part of what the account had accepted.
func (g *AdmissionController) Decide(told Allocation, since time.Time, r Request, now time.Time) Decision {
	p := g.historyOf(r.Flow, now)
	e, known := told[r.Flow]
	a := Decision{Share: e.Rate}
	if known {
		a.Wait = e.expectedWait(r.Work, p.currentWait(e, since, now))
	}
	if !known || float64(a.Wait) <= maxWaitFraction*float64(r.Objective-r.CriticalPath) {
		p.accepted = append(p.accepted, acceptedWork{at: now, work: r.Work})
		p.rate.Add(r.Work, rateDecayTime, now)
		return a
	}
	a.Refused = ReasonShare
	if e.AtLimit {
		a.Refused = ReasonLimit
	}
	a.RetryAfter = p.retryAfter(e, a.Wait-time.Duration(maxWaitFraction*float64(r.Objective-r.CriticalPath)), r.Work, now)
	return a
}

// agingWork is the work by which a job that waits goes before one that comes a second later
// and is as large: placement weighs so much work like a second of slack.
const agingWork = 25

// maxOvertakingFraction bounds which part of a rate smaller jobs that come later take: large jobs would
// otherwise never be taken in under lasting pressure.
const maxOvertakingFraction = 0.6

// expectedWait returns how long a job waits of so much work. What waits already goes before it
// unless it is larger; of what comes meanwhile only what is smaller does.
func (e FlowShare) expectedWait(work float64, wait time.Duration) time.Duration {
	if e.MeanJobWork <= 0 || e.Rate <= 0 {
		return wait
	}
	left := 1 - min(maxOvertakingFraction, e.workFractionBelow(work-agingWork/2)*e.AcceptedRate/e.Rate)
	return min(maxWait, time.Duration(float64(wait)*e.workFractionBelow(work+agingWork)/left))
}

// workFractionBelow returns which part of the account's work is in jobs below a size, which are taken
// for exponentially distributed about their mean.
func (e FlowShare) workFractionBelow(work float64) float64 {
	size := max(0, work) / e.MeanJobWork
	return 1 - (1+size)*math.Exp(-size)
}

// currentWait returns an entry's wait as of now: less by what was done since, and more by what
// was accepted.
func (p *flowHistory) currentWait(e FlowShare, since, now time.Time) time.Duration {
	own, first := 0.0, 0.0
	for _, t := range p.accepted {
		if t.at.After(since.Add(-reportDelay)) {
			if first == 0 {
				first = t.work
			}
			own += t.work
		}
	}
	// One job may as well have come by chance: only what is beyond it tells of other hosts.
	shown := (own - first) / p.hostFraction(e, now)
	usual := e.AcceptedRate * now.Sub(since).Seconds()
	return max(0, e.Wait-now.Sub(since)) + durationAt(max(own, usual, shown), e.Rate)
}

// hostFraction returns which part of its account's work this host accepts.
func (p *flowHistory) hostFraction(e FlowShare, now time.Time) float64 {
	own := p.rate.Rate(rateDecayTime, now)
	if e.AcceptedRate <= own {
		return 1
	}
	return max(minHostFraction, own/e.AcceptedRate)
}

// retryAfter returns when a refused job could be in time, behind those that were refused before:
// they come back one after another, as the account's share does their work.
func (p *flowHistory) retryAfter(e FlowShare, least time.Duration, work float64, now time.Time) time.Duration {
	first := now.Add(least)
	if p.nextRetry.Before(first) {
		p.nextRetry = first
	}
	at := p.nextRetry.Sub(now)
	if next := p.nextRetry.Add(durationAt(work/p.hostFraction(e, now), e.Rate)); next.Sub(now) <= maxRetryHorizon {
		p.nextRetry = next
	} else {
		p.nextRetry = first
	}
	return at
}

// historyOf returns what was let through of a flow, without what is too old to count.
func (g *AdmissionController) historyOf(l Flow, now time.Time) *flowHistory {
	p, ok := g.flows[l]
	if !ok {
		if g.flows == nil || len(g.flows) >= maxFlows {
			g.flows = map[Flow]*flowHistory{}
		}
		p = &flowHistory{}
		g.flows[l] = p
	}
	old := 0
	for old < len(p.accepted) && now.Sub(p.accepted[old].at) > acceptedRetention {
		old++
	}
	p.accepted = p.accepted[old:]
	return p
}
