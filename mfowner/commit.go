package mfowner

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfjob"
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
	head.LongestWorkerID = s.state.LongestWorkerID()
	head.CalledBy = maps.Clone(s.machines.calledBy)
	if pending, known := s.state.Pending(); known {
		head.PendingKnown, head.Pending, head.EstimatedWaits = true, pending, s.waits(now)
		head.AdviceWait = s.state.AdviceWait(now)
		head.Shares = s.shares(now)
	}
	head = s.fitHead(head)
	snapshot := head
	snapshot.ReadAt, snapshot.FirstReadAt = now, now
	s.owner.lastHead.Store(&snapshot)
	s.keepProgressOf(c.Progress)
	rows = append(rows, s.progressDeletes(mfjournal.MaxRows-len(rows))...)
	rows = append(rows, s.waveRows()...)
	s.activity.rows += len(rows)
	s.machines.committing, s.machines.queued = s.machines.queued, nil
	s.commitInFlight, s.commitNumber, s.commitSentAt = true, c.Number, s.owner.Clock.Now()
	s.peerRelease.head, s.peerRelease.version = s.committer.head, s.committer.version
	go func() {
		began := s.owner.Clock.Now()
		err := s.committer.writeValid(s.commits, head, rows)
		if s.owner.OnCommit != nil {
			s.owner.OnCommit(s.owner.Clock.Now().Sub(began))
		}
		s.commitResult <- err
	}()
}

// keepProgressOf takes jobs out of those whose progress is still to be deleted: they were handed in
// again, and what is stored now is theirs.
func (s *session) keepProgressOf(stored map[mothferry.JobID]mfjob.Progress) {
	s.progressToDelete = slices.DeleteFunc(s.progressToDelete, func(id mothferry.JobID) bool {
		_, again := stored[id]
		return again
	})
}

// maxUncheckedCounts is the number of entries up to which the head fits a row without a check.
const maxUncheckedCounts = 100

// fitHead leaves out of the head what does not fit a row: the accounts' shares, and then the counts
// of queues. Hosts then refuse no job by shares, or tell no counts.
func (s *session) fitHead(head mfrecord.Head) mfrecord.Head {
	if len(head.Pending)+len(head.EstimatedWaits)+len(head.Shares) <= maxUncheckedCounts {
		return head
	}
	for _, leaveOut := range []func(){
		func() {},
		func() { head.Shares = nil },
		func() { head.PendingKnown, head.Pending, head.EstimatedWaits = false, nil, nil },
	} {
		leaveOut()
		if value, err := head.Encode(); err == nil && mothferry.Bytes(len(value)) <= s.journal.RowLimit() {
			break
		}
	}
	if trimmed := !head.PendingKnown || head.Shares == nil && s.publishedShares != nil; trimmed != s.headTrimmed {
		s.headTrimmed = trimmed
		s.owner.Log.WithFields(log.Fields{"epoch": head.Epoch, "trimmed": trimmed, "shares": head.Shares != nil, "counts": head.PendingKnown}).Warn("counts in the head changed to fit its row")
	}
	return head
}

// sharesInterval is how often account shares and waits are computed: about as often as hosts read
// them.
const sharesInterval = 200 * time.Millisecond

// waits returns the estimated waits to publish in the head row.
func (s *session) waits(now time.Time) map[mothferry.ServiceID]time.Duration {
	if now.Sub(s.waitsComputedAt) >= sharesInterval {
		s.waitsComputedAt, s.publishedWaits = now, s.state.Waits(s.startCapacity.rate, now)
	}
	return s.publishedWaits
}

// shares returns the allocation to publish in the head row.
func (s *session) shares(now time.Time) mfshare.Allocation {
	if now.Sub(s.sharesComputedAt) >= sharesInterval {
		s.sharesComputedAt = now
		allocation := s.state.Allocations(now)
		s.owner.accountShares.Store(&Shares{Allocation: allocation, Used: s.state.UsedByAccount()})
		s.publishedShares = nil
		if allocation != nil {
			s.publishedShares = allocation.Published(s.state.NoticeableWaits())
		}
	}
	return s.publishedShares
}

// leaseTail returns how long after a commit sent now worker leases requested by this owner or
// a previous one may still run.
func (s *session) leaseTail(now time.Time) time.Duration {
	// The head stores whole milliseconds, so the remainder is rounded up.
	left := s.state.PriorLeaseEnd.Sub(now).Truncate(time.Millisecond) + time.Millisecond
	return max(s.owner.Limits.LeaseExpiryBound(), left)
}
