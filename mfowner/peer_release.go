package mfowner

import (
	"errors"
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// Times of an owner that the store turns away.
const (
	// peerReleaseAfter is after how long without an answer to a commit an owner that the
	// store turns away gives the shard up: commits take some 10 ms, and the lease that
	// the others wait for else is at least shortLease.
	peerReleaseAfter = 150 * time.Millisecond
	// peerReleaseInterval is the pause before that is tried again.
	peerReleaseInterval = 100 * time.Millisecond
	// reclaimDelay is how long a host that gave up so leaves the shard to the others.
	// Its reads may go well before its commits do.
	reclaimDelay = 3 * time.Second
)

// errReleasedByPeer reports that another host stored that this one gives the shard up.
var errReleasedByPeer = errors.New("the shard was given up by another host")

// peerRelease is what a session knows of giving its shard up by another host.
type peerRelease struct {
	// head and version are those of the last commit that is stored, while another is
	// under way.
	head        mfrecord.Head
	version     mothferry.Version
	attempts    int
	inFlight    bool
	lastAttempt time.Time
	stored      bool
}

// tryPeerRelease gives the shard up by another host if a commit has no answer and the
// store turns this host away.
//
// The load it answers: nothing starts and no job that is handed in is seen until the
// shard has another owner, which otherwise waits for the lease. The session goes on
// until it is known to be stored: the store may be out for all. A commit under way
// that is stored first keeps the shard, and one that comes after meets a conflict.
func (s *session) tryPeerRelease(now time.Time) {
	r := &s.peerRelease
	if s.owner.ReleaseViaPeer == nil || !s.commitInFlight || r.inFlight || now.Sub(s.commitSentAt) < peerReleaseAfter || now.Sub(r.lastAttempt) < peerReleaseInterval {
		return
	}
	r.inFlight, r.lastAttempt = true, now
	r.attempts++
	head := r.head
	head.Holder, head.LeaseTail = "", s.leaseTail(now)
	head.Token = mothferry.Token(fmt.Sprintf("%s/%x/release/%d", s.owner.Daemon, s.committer.session, r.attempts))
	go func(version mothferry.Version) {
		stored := s.owner.ReleaseViaPeer(s.ctx, head, version)
		s.runInLoop(func() { r.inFlight, r.stored = false, stored })
	}(r.version)
}
