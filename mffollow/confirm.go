package mffollow

import (
	"context"
	"time"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfpeer"
)

// Confirmed returns when this daemon last began to compare its placements with
// a peer of its data centre or with the table, and was done with it.
//
// A daemon that was paused (a frozen machine, a long stop for memory) resumes
// with the placements of before. Without this check it would send requests to
// runners that left meanwhile, for as long as the next heartbeat takes. The
// age of the last comparison shows the pause: requests wait until the next one
// is done. A daemon that reaches nobody has compared with all that there is,
// and goes on serving; after a pause only once Notice has passed.
func (f *Follower) Confirmed() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.confirmed
}

// confirm compares the placements in force with others' again and again.
//
// After a pause, a round that returns SourceNone is accepted only once such rounds have
// continued for Notice, because healthy peers may be slow or may have closed their sessions.
func (f *Follower) confirm(ctx context.Context) {
	var resumed, previous time.Time
	for {
		began := f.Clock.Now()
		age := began.Sub(f.Confirmed())
		if age > f.MaxConfirmAge && (resumed.IsZero() || began.Sub(previous) > f.MaxConfirmAge) {
			resumed = began
		}
		previous = began
		source := f.catchUp(ctx)
		if source != SourceNone || resumed.IsZero() || f.Clock.Now().Sub(resumed) > f.MaxConfirmAge {
			f.mutex.Lock()
			f.confirmed = began
			f.mutex.Unlock()
			if !resumed.IsZero() {
				f.Log.WithField("source", source).WithField("age_ms", age.Milliseconds()).Info("Placements are compared after a pause.")
				resumed = time.Time{}
			}
		}
		if !mfclock.Sleep(ctx, f.Clock, f.Heartbeat) {
			return
		}
	}
}

// catchUp asks the peers of this data centre, beginning with another one each
// time, until one replies, and adopts what it has newer. If none replies it
// asks the table. It is bounded, so that an unreachable peer does not keep a
// daemon that serves from confirming what it knows; and each peer has its part
// of the time, so that a frozen one does not use up that of the others.
// It returns what confirmed the placements, or SourceNone if neither a peer nor the table did.
func (f *Follower) catchUp(ctx context.Context) Source {
	near := f.localPeers()
	part := f.CompareTimeout / time.Duration(len(near)+1)
	for range near {
		p := near[f.nextPeer%len(near)]
		f.nextPeer++
		if f.compare(ctx, p, part) {
			return SourcePeer
		}
	}
	ctx, cancel := context.WithTimeout(ctx, part)
	defer cancel()
	if err := f.readTable(ctx); err != nil {
		if ctx.Err() == nil {
			f.Log.WithError(err).Debug("Neither peers nor the platform can be reached.")
		}
		return SourceNone
	}
	return SourcePlatform
}

// compare swaps heartbeats with a peer, adopts what it has newer, and reports
// whether all of that came in time and the peer is up to date with this daemon.
// Old placements would count as confirmed otherwise, and
// a daemon that was paused would send requests to runners that have left.
func (f *Follower) compare(ctx context.Context, p mfpeer.Peer, bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	status, err := f.Mesh.Exchange(ctx, p)
	if err != nil && f.Mesh.AwaitSession(ctx, p.Daemon) == nil {
		// The session ended during a pause of this daemon, and the peer is well.
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
	var near []mfpeer.Peer
	for _, p := range f.Mesh.Peers {
		if p.DataCentre == f.DataCentre {
			near = append(near, p)
		}
	}
	return near
}

// adoptNewer fetches the placements that a peer has newer, and reports whether all came.
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

// adoptPlacement fetches a placement from a peer and reports whether it came.
func (f *Follower) adoptPlacement(ctx context.Context, p mfpeer.Peer, pool mothferry.PoolID) bool {
	record, err := f.Mesh.Placement(ctx, p.Daemon, pool)
	if err != nil || record.DataCentre != f.DataCentre {
		f.Log.WithError(err).WithField("peer", p.Daemon).WithField("pool", pool).Debug("Placement did not come.")
		return false
	}
	f.Store.AdoptPlacement(record)
	return true
}
