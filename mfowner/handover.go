package mfowner

import (
	"time"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfrecord"
)

// If two hosts in turn call the platform for the same machine, the platform executes both
// calls and it is uncertain which one is newer. A new owner therefore leaves a machine alone
// for a while after the previous owner's last call for it, as given by the head. Other
// machines need not wait, so that pools follow the demand during a takeover.

const (
	// minCallWindow is how long after the last stored commit was sent machines may be changed.
	// It is shorter than minLease, so that no other host owns the shard by then. On a slow
	// store the window is callWindowLatencyFactor times the latency of the last commit, up to
	// maxCallWindow; the head gives a new owner the longer time.
	minCallWindow           = 500 * time.Millisecond
	callWindowLatencyFactor = 2
	maxCallWindow           = 2500 * time.Millisecond
	// callTimeout bounds a call. The connection of a call without an answer is reset, so that
	// the call does not arrive later.
	callTimeout = 900 * time.Millisecond
	// handoverMargin is added to the delay before calling again for a machine that the
	// previous owner may have called for.
	handoverMargin = 300 * time.Millisecond
)

// handoverDelay returns the delay between two hosts' calls for the same machine, counted from
// when the previous owner's call was sent.
func (o *Owner) handoverDelay() time.Duration {
	return callTimeout + o.MachineHandoverDelay + handoverMargin
}

// predecessorCalls are the machines that previous owners called for.
type predecessorCalls struct {
	// lastCommit is the time by which the previous owner's last commit was stored.
	lastCommit time.Time
	// ages holds how long before that commit each machine was called for; negative for calls
	// that may have been sent after it.
	ages map[mothferry.MachineID]time.Duration
	// head gives the calling daemons, self is this host.
	head mfrecord.Head
	self mothferry.DaemonID
}

// otherCallers returns the calling daemon of each machine that another host called for.
func (p predecessorCalls) otherCallers() map[mothferry.MachineID]mothferry.DaemonID {
	others := map[mothferry.MachineID]mothferry.DaemonID{}
	for m := range p.ages {
		if by := p.head.CallingDaemon(m); by != p.self {
			others[m] = by
		}
	}
	return others
}

// blocked returns the machines that must not be called for yet: those that another host called
// for less than delay ago.
func (p predecessorCalls) blocked(now time.Time, delay time.Duration) map[mothferry.MachineID]bool {
	blocked := map[mothferry.MachineID]bool{}
	for m, age := range p.ages {
		if p.head.CallingDaemon(m) != p.self && now.Before(p.lastCommit.Add(delay-age)) {
			blocked[m] = true
		}
	}
	return blocked
}

// callWindow returns how long after the next commit is sent the calls that it names may be
// sent.
func (s *session) callWindow() time.Duration {
	return min(maxCallWindow, max(minCallWindow, callWindowLatencyFactor*s.commitLatency))
}

// confirmedWithin reports whether the last stored commit was sent less than d ago. It checks
// both the monotonic and the wall clock, as the monotonic clock stops while a host is
// suspended.
func (s *session) confirmedWithin(d time.Duration, now time.Time) bool {
	monotonic := now.Sub(s.confirmedAt)
	wall := now.Round(0).Sub(s.confirmedAt.Round(0))
	return max(monotonic, wall) < d
}

// inheritCalls records the previous owners' calls, to pass them on to the next owner.
func (s *session) inheritCalls() {
	for m, age := range s.predecessor.ages {
		s.machines.calledAt[m] = s.predecessor.lastCommit.Add(-age)
	}
	s.machines.calledBy = s.predecessor.otherCallers()
}

// callAges returns how long ago machines were called for, to store in the head. Calls that
// wait for this commit may be sent until the end of its call window.
func (s *session) callAges(now time.Time) map[mothferry.MachineID]time.Duration {
	s.machines.callWindow = s.callWindow()
	for _, c := range s.machines.queued {
		s.machines.calledAt[c.Machine] = now.Add(s.machines.callWindow)
		delete(s.machines.calledBy, c.Machine)
	}
	ages := map[mothferry.MachineID]time.Duration{}
	for m, at := range s.machines.calledAt {
		if now.Sub(at) > s.owner.handoverDelay() {
			delete(s.machines.calledAt, m)
			delete(s.machines.calledBy, m)
			continue
		}
		ages[m] = now.Sub(at)
	}
	return ages
}

// sendCommittedCalls sends the calls named by the stored commit. If the commit took too long
// another host may own the shard, and the calls are not sent.
func (s *session) sendCommittedCalls(now time.Time) {
	for _, c := range s.machines.committing {
		if !s.confirmedWithin(s.machines.callWindow, now) {
			s.owner.Log.WithField("machine", c.Machine).WithField("commit_age_ms", now.Sub(s.confirmedAt).Milliseconds()).Info("machine call not sent, commit took too long")
			s.machines.planner.RecordAnswer(c, mfduty.AnswerRefused, now)
			continue
		}
		s.machines.calledAt[c.Machine] = now
		go s.callMachine(c)
	}
	s.machines.committing = nil
}
