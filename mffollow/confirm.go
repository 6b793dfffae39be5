package mffollow

import (
	"context"
	"time"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfpeer"
)

// Confirmed returns when the last completed comparison of this daemon's placements, with a peer
// of its data centre or with the table, started.
//
// A daemon that was paused (a suspended machine, a long memory stall) resumes with its old
// placements. Without this check it would send requests to runners that have left meanwhile,
// until the next heartbeat. The age of the last comparison shows the pause: requests wait until
// the next one is done. A daemon that reaches nobody has compared with all that there is, and
// continues to serve; after a pause only once MaxConfirmAge has passed.
func (f *Follower) Confirmed() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.confirmed
}

// confirm repeatedly compares the placements in force with those of others.
//
// After a pause, a round that returns SourceNone is accepted only once such rounds have
// continued for MaxConfirmAge, because healthy peers may be slow or may have closed their
// sessions.
func (f *Follower) confirm(ctx context.Context) {
	var resumed, previous time.Time
	for {
		start := f.Clock.Now()
		age := start.Sub(f.Confirmed())
		if age > f.MaxConfirmAge && (resumed.IsZero() || start.Sub(previous) > f.MaxConfirmAge) {
			resumed = start
		}
		previous = start
		source := f.catchUp(ctx)
		if source != SourceNone || resumed.IsZero() || f.Clock.Now().Sub(resumed) > f.MaxConfirmAge {
			f.mutex.Lock()
			f.confirmed = start
			f.mutex.Unlock()
			if !resumed.IsZero() {
				f.Log.WithField("source", source).WithField("age_ms", age.Milliseconds()).Info("placements compared after a pause")
				resumed = time.Time{}
			}
		}
		if !mfclock.Sleep(ctx, f.Clock, f.Heartbeat) {
			return
		}
	}
}

// catchUp asks the peers of this data centre, starting with a different one each time, until
// one confirms the placements, and adopts what it has newer. If none does, it asks the table.
// It is bounded, so that an unreachable peer does not keep a daemon that serves from confirming
// its placements; and each peer gets an equal part of the time, so that an unresponsive one
// does not use up that of the others. It returns what confirmed the placements, or SourceNone
// if neither a peer nor the table did.
func (f *Follower) catchUp(ctx context.Context) Source {
	peers := f.localPeers()
	timeout := f.CompareTimeout / time.Duration(len(peers)+1)
	for range peers {
		p := peers[f.nextPeer%len(peers)]
		f.nextPeer++
		if f.compare(ctx, p, timeout) {
			return SourcePeer
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := f.readTable(ctx); err != nil {
		if ctx.Err() == nil {
			f.Log.WithError(err).Debug("neither peers nor platform can be reached")
		}
		return SourceNone
	}
	return SourcePlatform
}

// compare exchanges heartbeats with a peer, adopts what it has newer, and reports whether all
// of that arrived in time and the peer is up to date with this daemon. Old placements would
// count as confirmed otherwise, and a daemon that was paused would send requests to runners
// that have left.
func (f *Follower) compare(ctx context.Context, p mfpeer.Peer, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, err := f.Mesh.Exchange(ctx, p)
	if err != nil && f.Mesh.AwaitSession(ctx, p.Daemon) == nil {
		// The session ended during a pause of this daemon, and the peer is healthy.
		status, err = f.Mesh.Exchange(ctx, p)
	}
	if err != nil {
		return false
	}
	return f.adoptNewer(ctx, p, status) && !f.aheadOf(status)
}

// aheadOf reports whether a peer's status lacks a placement that is in force here or
// has an older generation of it. Such a peer has just started or was paused itself, so
// it cannot rule out that newer placements exist.
func (f *Follower) aheadOf(s mfpeer.Status) bool {
	for pool, p := range f.Store.Current().Placements {
		if s.Shards[pool].Generation < p.Generation {
			return true
		}
	}
	return false
}

func (f *Follower) localPeers() []mfpeer.Peer {
	var peers []mfpeer.Peer
	for _, p := range f.Mesh.Peers {
		if p.DataCentre == f.DataCentre {
			peers = append(peers, p)
		}
	}
	return peers
}

// adoptNewer fetches the placements that are newer at a peer, and reports whether all arrived.
func (f *Follower) adoptNewer(ctx context.Context, p mfpeer.Peer, s mfpeer.Status) bool {
	current := f.Store.Current()
	all := true
	for pool, k := range s.Shards {
		if k.Generation > current.Placements[pool].Generation {
			all = f.adoptPlacement(ctx, p, pool) && all
		}
	}
	return all
}

// adoptPlacement fetches a placement from a peer, adopts it and reports whether it arrived.
func (f *Follower) adoptPlacement(ctx context.Context, p mfpeer.Peer, pool mothferry.PoolID) bool {
	record, err := f.Mesh.Placement(ctx, p.Daemon, pool)
	if err != nil || record.DataCentre != f.DataCentre {
		f.Log.WithError(err).WithField("peer", p.Daemon).WithField("pool", pool).Debug("fetch placement from peer failed")
		return false
	}
	f.Store.AdoptPlacement(record)
	return true
}
