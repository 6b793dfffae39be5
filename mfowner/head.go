// Package mfowner lets one entry host at a time own a shard: it watches who
// owns it, takes it over when the owner is gone, and then runs the scheduler:
// events in, commands out, each commit under the condition that the shard is
// still its own.
package mfowner

import (
	"context"
	"errors"
	"strconv"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// Times of ownership.
const (
	// pollEvery is how often a host looks who owns the shard. It bounds how
	// long a shard that was given up stays without an owner.
	pollEvery = 300 * time.Millisecond
	// ownerLease is how long the head row must be seen unchanged until its
	// owner counts as gone, if it is not known how long a look takes.
	ownerLease = 1100 * time.Millisecond
	// shortLease is the same on a store that is well, where an idle owner's commits take
	// 10 ms. A look at the row tells how well it is: slowLooks times what the last one
	// took is added, up to longestLease. A commit takes two answers, and one may wait for another.
	shortLease   = 700 * time.Millisecond
	slowLooks    = 4
	longestLease = 3200 * time.Millisecond
	// pollGap is the longest time between two looks at the row that still
	// shows that it did not change meanwhile for want of a store: an owner
	// must not lose the shard because nobody could reach the store. What the later look
	// took is added: a slow store answers, only late.
	pollGap = 900 * time.Millisecond
	// firstClaim is how long the first claim of all waits, until every host has
	// told its share.
	firstClaim = time.Second
	// strongEnough is the part of the strongest host's share with which a host
	// counts as strong.
	strongEnough = 0.75
	// weakPatience is how much longer a weak host waits: two polls of the others.
	weakPatience = 800 * time.Millisecond
	// relieveAfter is how long a weak owner is left alone by a strong host.
	relieveAfter = 3 * time.Second
)

// sighting is what a host last saw of the head row.
type sighting struct {
	head    mfrecord.Head
	version mothferry.Version
	// since is when this version was first seen, read when it last was.
	since, read time.Time
	// paused is by how much this host's poll timers fired late in total since then. The
	// owner may have been paused for the same time.
	paused time.Duration
	// strongest is the largest processor share that any host has told of, and
	// strengthVersion the version of that row.
	strongest       mothferry.Millicores
	strengthVersion mothferry.Version
	// ownerSince is since when this owner has been seen.
	ownerSince time.Time
	// took is how long the last look took; zero if that is not known.
	took time.Duration
}

// lease is how long the head must be seen unchanged.
func (s sighting) lease() time.Duration {
	if s.took <= 0 {
		return ownerLease
	}
	return min(longestLease, shortLease+slowLooks*s.took)
}

// observe takes a reading of the head row in.
func (s sighting) observe(next sighting, now time.Time) sighting {
	next.since, next.read, next.ownerSince = now, now, now
	if s.read.IsZero() || now.Sub(s.read) > pollGap+next.took {
		return next
	}
	if s.version == next.version {
		next.since, next.paused = s.since, s.paused
	}
	if s.head.Holder == next.head.Holder && s.head.Epoch == next.head.Epoch {
		next.ownerSince = s.ownerSince
	}
	return next
}

// unchanged is how long the head has been seen unchanged, less the time in paused.
func (s sighting) unchanged() time.Duration { return s.read.Sub(s.since) - s.paused }

// claimable reports whether a host with this share of processors may take the
// shard over. A weak host leaves it to the strong ones for a while; a strong
// one takes it from a weak owner: an owner that is short of processor time
// extends leases too late, and what runs is lost.
func (s sighting) claimable(own mothferry.DaemonID, cores mothferry.Millicores) bool {
	unchanged := s.unchanged()
	patience := time.Duration(0)
	if float64(cores) < strongEnough*float64(s.strongest) {
		patience = weakPatience
	}
	switch {
	case s.head.Holder == own && s.version != 0:
		// An earlier life of this very daemon: it is over, as this one runs.
		return true
	case s.version == 0:
		return unchanged >= firstClaim+patience
	case s.head.Holder == "":
		return unchanged >= patience
	case unchanged >= s.lease()+patience:
		return true
	default:
		return float64(s.head.Cores) < strongEnough*float64(cores) && s.read.Sub(s.ownerSince) >= relieveAfter
	}
}

// lastCommit is when the former owner's last commit was there at the latest: it
// was sent before this host first saw the version that it wrote. A head that
// still changed when the shard was claimed was written just before the claim.
func (s sighting) lastCommit(claimed time.Time) time.Time {
	if s.unchanged() >= s.lease() {
		return s.since
	}
	return claimed
}

// readHead reads the head row and the strongest share; version 0 means that
// there is no head yet.
func readHead(ctx context.Context, store mothferry.RowStore) (sighting, error) {
	page, err := store.Range(ctx, mothferry.RowRange{
		Table: mfrecord.TableOwner, Part: mfrecord.PartShard,
		From: mfrecord.KeyHead, To: mfrecord.KeyStrength + "\x00",
	})
	var s sighting
	for _, r := range page.Rows {
		switch r.Key {
		case mfrecord.KeyHead:
			s.version = r.Version
			s.head, err = mfrecord.DecodeHead(r.Value)
		case mfrecord.KeyStrength:
			s.strengthVersion = r.Version
			cores, _ := strconv.ParseInt(string(r.Value), 10, 64)
			s.strongest = mothferry.Millicores(cores)
		}
		if err != nil {
			return s, err
		}
	}
	return s, err
}

// tellStrength tells the others of a larger share than any host has told of.
// If another host does so at the same time, the next look brings its figure.
func tellStrength(ctx context.Context, store mothferry.RowStore, cores mothferry.Millicores, version mothferry.Version) error {
	_, err := store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyStrength, Version: version}},
		Writes: []mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyStrength, Value: []byte(strconv.FormatInt(int64(cores), 10))}},
	})
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
