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
// and goes on serving.
func (f *Follower) Confirmed() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.confirmed
}

// confirm compares the placements in force with others' again and again.
func (f *Follower) confirm(ctx context.Context) {
	for {
		began := f.Clock.Now()
		f.catchUp(ctx)
		f.mutex.Lock()
		f.confirmed = began
		f.mutex.Unlock()
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
func (f *Follower) catchUp(ctx context.Context) {
	near := f.nearPeers()
	part := f.Bound / time.Duration(len(near)+1)
	for range near {
		p := near[f.turn%len(near)]
		f.turn++
		if f.compare(ctx, p, part) {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, part)
	defer cancel()
	if err := f.readTable(ctx); err != nil && ctx.Err() == nil {
		f.Log.WithError(err).Debug("Neither peers nor the platform can be reached.")
	}
}

// compare swaps heartbeats with a peer, adopts what it has newer, and reports
// whether all of that came in time. Old placements would count as confirmed otherwise, and
// a daemon that was paused would send requests to runners that have left.
func (f *Follower) compare(ctx context.Context, p mfpeer.Peer, bound time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	status, err := f.Mesh.Exchange(ctx, p)
	if err != nil && f.Mesh.Await(ctx, p.Daemon) == nil {
		// The session ended during a pause of this daemon, and the peer is well.
		status, err = f.Mesh.Exchange(ctx, p)
	}
	if err != nil {
		return false
	}
	return f.adoptNewer(ctx, p, status)
}

func (f *Follower) nearPeers() []mfpeer.Peer {
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
