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
	// callWithin is how long after the last stored commit was sent machines may be
	// changed: below shortLease, so that no other host owns the shard by then. On a slow
	// store it is slowCommits times what the last commit took, up to longestCallWithin:
	// the head tells a successor of the longer time.
	callWithin        = 500 * time.Millisecond
	slowCommits       = 2
	longestCallWithin = 2500 * time.Millisecond
	// callTakes bounds a call: one that has no answer by then is given up, and its
	// connection reset, so that it does not arrive later.
	callTakes = 900 * time.Millisecond
	// handOverMargin is added to the pause before a machine that the former owner
	// may have asked for is asked for again.
	handOverMargin = 300 * time.Millisecond
)

// handOver is the pause between two hosts' calls for one machine, counted from
// when the former one's call was sent.
func (o *Owner) handOver() time.Duration {
	return callTakes + o.MachineHandOver + handOverMargin
}

// formerCalls are the machines that a former owner asked for.
type formerCalls struct {
	// lastCommit is when its last commit was there at the latest.
	lastCommit time.Time
	// ago is how long before that commit each machine was asked for; it is
	// negative for those that may have been asked for after it.
	ago map[mothferry.MachineID]time.Duration
	// head tells who asked, own is this host.
	head mfrecord.Head
	own  mothferry.DaemonID
}

// inheritedBy returns who asked for each machine that another host asked for.
func (f formerCalls) inheritedBy() map[mothferry.MachineID]mothferry.DaemonID {
	others := map[mothferry.MachineID]mothferry.DaemonID{}
	for m := range f.ago {
		if by := f.head.AskedBy(m); by != f.own {
			others[m] = by
		}
	}
	return others
}

// blocked returns the machines that must be left alone for now.
func (f formerCalls) blocked(now time.Time, pause time.Duration) map[mothferry.MachineID]bool {
	blocked := map[mothferry.MachineID]bool{}
	for m, ago := range f.ago {
		if f.head.AskedBy(m) != f.own && now.Before(f.lastCommit.Add(pause-ago)) {
			blocked[m] = true
		}
	}
	return blocked
}

// callWindow is how long after the next commit is sent the calls that wait for it may go out.
func (s *session) callWindow() time.Duration {
	return min(longestCallWithin, max(callWithin, slowCommits*s.took))
}

// confirmedWithin reports whether the last commit that is stored was sent less than a while
// ago. Both the steady clock and the time of day have to agree, as the steady clock
// stands still while a host is suspended.
func (s *session) confirmedWithin(d time.Duration, now time.Time) bool {
	steady := now.Sub(s.confirmed)
	wall := now.Round(0).Sub(s.confirmed.Round(0))
	return max(steady, wall) < d
}

// inherit takes over the former owner's calls, for a successor of this one.
func (s *session) inherit() {
	for m, d := range s.former.ago {
		s.duties.called[m] = s.former.lastCommit.Add(-d)
	}
	s.duties.calledBy = s.former.inheritedBy()
}

// calledAgo returns how long ago machines were asked for, for the head. Calls
// that wait for this commit may go out until the end of its window.
func (s *session) calledAgo(now time.Time) map[mothferry.MachineID]time.Duration {
	s.duties.window = s.callWindow()
	for _, c := range s.duties.waiting {
		s.duties.called[c.Machine] = now.Add(s.duties.window)
		delete(s.duties.calledBy, c.Machine)
	}
	ago := map[mothferry.MachineID]time.Duration{}
	for m, at := range s.duties.called {
		if now.Sub(at) > s.owner.handOver() {
			delete(s.duties.called, m)
			delete(s.duties.calledBy, m)
			continue
		}
		ago[m] = now.Sub(at)
	}
	return ago
}

// releaseCalls asks for the machines that the stored commit names. If its answer
// came too late another host may own the shard, and nothing is asked for.
func (s *session) releaseCalls(now time.Time) {
	for _, c := range s.duties.releasing {
		if !s.confirmedWithin(s.duties.window, now) {
			s.owner.Log.WithField("machine", c.Machine).WithField("commit_age_ms", now.Sub(s.confirmed).Milliseconds()).Info("machine is not asked for, the commit took too long")
			s.duties.state.RecordAnswer(c, mfduty.AnswerRefused, now)
			continue
		}
		s.duties.called[c.Machine] = now
		go s.callMachine(c)
	}
	s.duties.releasing = nil
}
