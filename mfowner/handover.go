package mfowner

import (
	"time"

	"mothferry"
	"mothferry/mfduty"
	"mothferry/mfrecord"
)

// What it guards against: two hosts take turns at one machine. The platform
// carries both orders out, and which of them is the newer one is then not sure.
// A successor therefore leaves a machine alone for a while after its
// predecessor's last call for it, which the head tells. Other machines need not
// wait, so that pools follow the demand over a takeover.

const (
	// minCallWindow is how long after the last stored commit was sent machines may be
	// changed: below shortLease, so that no other host owns the shard by then. On a slow
	// store it is slowCommits times what the last commit took, up to longestCallWithin:
	// the head tells a successor of the longer time.
	minCallWindow           = 500 * time.Millisecond
	callWindowLatencyFactor = 2
	maxCallWindow           = 2500 * time.Millisecond
	// callTimeout bounds a call: one that has no answer by then is given up, and its
	// connection reset, so that it does not arrive later.
	callTimeout = 900 * time.Millisecond
	// handoverMargin is added to the pause before a machine that the former owner
	// may have asked for is asked for again.
	handoverMargin = 300 * time.Millisecond
)

// handoverDelay is the pause between two hosts' calls for one machine, counted from
// when the former one's call was sent.
func (o *Owner) handoverDelay() time.Duration {
	return callTimeout + o.MachineHandoverDelay + handoverMargin
}

// predecessorCalls are the machines that a former owner asked for.
type predecessorCalls struct {
	// lastCommit is when its last commit was there at the latest.
	lastCommit time.Time
	// ages is how long before that commit each machine was asked for; it is
	// negative for those that may have been asked for after it.
	ages map[mothferry.MachineID]time.Duration
	// head tells who asked, own is this host.
	head mfrecord.Head
	self mothferry.DaemonID
}

// otherCallers returns who asked for each machine that another host asked for.
func (f predecessorCalls) otherCallers() map[mothferry.MachineID]mothferry.DaemonID {
	others := map[mothferry.MachineID]mothferry.DaemonID{}
	for m := range f.ages {
		if by := f.head.CallingDaemon(m); by != f.self {
			others[m] = by
		}
	}
	return others
}

// blocked returns the machines that must be left alone for now.
func (f predecessorCalls) blocked(now time.Time, pause time.Duration) map[mothferry.MachineID]bool {
	blocked := map[mothferry.MachineID]bool{}
	for m, ago := range f.ages {
		if f.head.CallingDaemon(m) != f.self && now.Before(f.lastCommit.Add(pause-ago)) {
			blocked[m] = true
		}
	}
	return blocked
}

// callWindow is how long after the next commit is sent the calls that wait for it may go out.
func (s *session) callWindow() time.Duration {
	return min(maxCallWindow, max(minCallWindow, callWindowLatencyFactor*s.commitLatency))
}

// confirmedWithin reports whether the last commit that is stored was sent less than a while
// ago. Both the steady clock and the time of day have to agree, as the steady clock
// stands still while a host is suspended.
func (s *session) confirmedWithin(d time.Duration, now time.Time) bool {
	steady := now.Sub(s.confirmedAt)
	wall := now.Round(0).Sub(s.confirmedAt.Round(0))
	return max(steady, wall) < d
}

// inheritCalls takes over the former owner's calls, for a successor of this one.
func (s *session) inheritCalls() {
	for m, d := range s.predecessor.ages {
		s.machines.calledAt[m] = s.predecessor.lastCommit.Add(-d)
	}
	s.machines.calledBy = s.predecessor.otherCallers()
}

// callAges returns how long ago machines were asked for, for the head. Calls
// that wait for this commit may go out until the end of its window.
func (s *session) callAges(now time.Time) map[mothferry.MachineID]time.Duration {
	s.machines.callWindow = s.callWindow()
	for _, c := range s.machines.queued {
		s.machines.calledAt[c.Machine] = now.Add(s.machines.callWindow)
		delete(s.machines.calledBy, c.Machine)
	}
	ago := map[mothferry.MachineID]time.Duration{}
	for m, at := range s.machines.calledAt {
		if now.Sub(at) > s.owner.handoverDelay() {
			delete(s.machines.calledAt, m)
			delete(s.machines.calledBy, m)
			continue
		}
		ago[m] = now.Sub(at)
	}
	return ago
}

// sendCommittedCalls asks for the machines that the stored commit names. If its answer
// came too late another host may own the shard, and nothing is asked for.
func (s *session) sendCommittedCalls(now time.Time) {
	for _, c := range s.machines.committing {
		if !s.confirmedWithin(s.machines.callWindow, now) {
			s.owner.Log.WithField("machine", c.Machine).WithField("commit_age_ms", now.Sub(s.confirmedAt).Milliseconds()).Info("machine is not asked for, the commit took too long")
			s.machines.planner.RecordAnswer(c, mfduty.AnswerRefused, now)
			continue
		}
		s.machines.calledAt[c.Machine] = now
		go s.callMachine(c)
	}
	s.machines.committing = nil
}
