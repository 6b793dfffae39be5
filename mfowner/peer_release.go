package mfowner

import (
	"errors"
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

const (
	// peerReleaseAfter is how long an owner that the store does not serve waits for the answer
	// to a commit before it releases the shard via a peer. Commits take some 10 ms; without
	// the release the others wait for the lease, which is at least minLease.
	peerReleaseAfter = 150 * time.Millisecond
	// peerReleaseInterval is the delay between attempts.
	peerReleaseInterval = 100 * time.Millisecond
	// reclaimDelay is how long a host does not claim the shard after such a release. Its reads
	// may succeed before its commits do.
	reclaimDelay = 3 * time.Second
)

// errReleasedByPeer reports that a peer stored the release of this host's shard.
var errReleasedByPeer = errors.New("the shard was released via a peer")

// peerRelease is the state of a session's release via a peer.
type peerRelease struct {
	// head and version are those of the last stored commit, while another one is in flight.
	head        mfrecord.Head
	version     mothferry.Version
	attempts    int
	inFlight    bool
	lastAttempt time.Time
	stored      bool
}

// tryPeerRelease releases the shard via a peer if a commit has no answer and the store does
// not serve this host.
//
// Until the shard has another owner nothing starts and no submitted job is processed, and
// without the release the others wait for the lease. The session goes on until the release
// is known to be stored, as the store may be unavailable to all hosts. If the commit in flight
// is stored first the shard is kept; if it comes after the release it fails with a conflict.
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
