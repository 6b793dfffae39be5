package mfowner

import (
	"maps"
	"time"

	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// commit stores progress together with the head row.
func (s *session) commit(c mfsched.Commit) {
	now := s.owner.Clock.Now()
	rows := s.journal.Write(c.Progress)
	head := mfrecord.Head{Holder: s.owner.Daemon, Epoch: s.committer.head.Epoch, Cores: s.owner.cores(), LeaseTail: s.leaseTail(now)}
	head.CallAges, head.MaxCapacity = s.callAges(now), s.machines.maxCapacity
	head.CalledBy = maps.Clone(s.machines.calledBy)
	if pending, known := s.state.Pending(); known {
		head.PendingKnown, head.Pending, head.EstimatedWaits = true, pending, s.state.Waits(now)
		head.Shares = s.shares(now)
	}
	board := head
	board.ReadAt, board.FirstReadAt = now, now
	s.owner.lastHead.Store(&board)
	rows = append(rows, s.progressDeletes(mfjournal.MaxRows-len(rows))...)
	rows = append(rows, s.waveRows()...)
	s.activity.rows += len(rows)
	s.machines.committing, s.machines.queued = s.machines.queued, nil
	s.commitInFlight, s.commitNumber, s.commitSentAt = true, c.Number, s.owner.Clock.Now()
	s.peerRelease.head, s.peerRelease.version = s.committer.head, s.committer.version
	go func() {
		began := s.owner.Clock.Now()
		err := s.committer.write(s.commits, head, rows)
		if s.owner.OnCommit != nil {
			s.owner.OnCommit(s.owner.Clock.Now().Sub(began))
		}
		s.commitResult <- err
	}()
}

// sharesInterval is how often accounts' shares are worked out: about as often as hosts read them.
const sharesInterval = 200 * time.Millisecond

// shares returns what hosts are told of accounts' shares.
func (s *session) shares(now time.Time) mfshare.Allocation {
	if now.Sub(s.sharesComputedAt) >= sharesInterval {
		s.sharesComputedAt = now
		standing := s.state.Allocations(now)
		s.owner.accountShares.Store(&Shares{Standing: standing, Used: s.state.UsedByAccount()})
		s.publishedShares = nil
		if standing != nil {
			s.publishedShares = standing.Published(s.state.NoticeableWaits())
		}
	}
	return s.publishedShares
}

// leaseTail is how long after a commit that is sent now leases may run that this owner or an earlier one
// asked for.
func (s *session) leaseTail(now time.Time) time.Duration {
	// The head has whole milliseconds; none may be cut off.
	left := s.state.PriorLeaseEnd.Sub(now).Truncate(time.Millisecond) + time.Millisecond
	return max(s.owner.Limits.LeaseExpiryBound(), left)
}
