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
	// pollInterval is how often a host looks who owns the shard. It bounds how
	// long a shard that was given up stays without an owner.
	pollInterval = 300 * time.Millisecond
	// defaultLease is how long the head row must be seen unchanged until its
	// owner counts as gone, if it is not known how long a look takes.
	defaultLease = 1100 * time.Millisecond
	// minLease is the same on a store that is well, where an idle owner's commits take
	// 10 ms. A look at the row tells how well it is: slowLooks times what the last one
	// took is added, up to longestLease. A commit takes two answers, and one may wait for another.
	minLease           = 700 * time.Millisecond
	leaseLatencyFactor = 4
	maxLease           = 3200 * time.Millisecond
	// maxPollGap is the longest time between two looks at the row that still
	// shows that it did not change meanwhile for want of a store: an owner
	// must not lose the shard because nobody could reach the store. What the later look
	// took is added: a slow store answers, only late.
	maxPollGap = 900 * time.Millisecond
	// initialClaimDelay is how long the first claim of all waits, until every host has
	// told its share.
	initialClaimDelay = time.Second
	// strongCoresFraction is the part of the strongest host's share with which a host
	// counts as strong.
	strongCoresFraction = 0.75
	// weakClaimDelay is how much longer a weak host waits: two polls of the others.
	weakClaimDelay = 800 * time.Millisecond
	// weakOwnerTenure is how long a weak owner is left alone by a strong host.
	weakOwnerTenure = 3 * time.Second
)

// observation is what a host last saw of the head row.
type observation struct {
	head    mfrecord.Head
	version mothferry.Version
	// firstReadAt is when this version was first seen, read when it last was.
	firstReadAt, readAt time.Time
	// paused is by how much this host's poll timers fired late in total since then. The
	// owner may have been paused for the same time.
	paused time.Duration
	// maxCores is the largest processor share that any host has told of, and
	// strengthVersion the version of that row.
	maxCores        mothferry.Millicores
	maxCoresVersion mothferry.Version
	// ownerFirstReadAt is since when this owner has been seen.
	ownerFirstReadAt time.Time
	// readLatency is how long the last look took; zero if that is not known.
	readLatency time.Duration
}

// lease is how long the head must be seen unchanged.
func (s observation) lease() time.Duration {
	if s.readLatency <= 0 {
		return defaultLease
	}
	return min(maxLease, minLease+leaseLatencyFactor*s.readLatency)
}

// observe takes a reading of the head row in.
func (s observation) observe(next observation, now time.Time) observation {
	next.firstReadAt, next.readAt, next.ownerFirstReadAt = now, now, now
	if s.readAt.IsZero() || now.Sub(s.readAt) > maxPollGap+next.readLatency {
		return next
	}
	if s.version == next.version {
		next.firstReadAt, next.paused = s.firstReadAt, s.paused
	}
	if s.head.Holder == next.head.Holder && s.head.Epoch == next.head.Epoch {
		next.ownerFirstReadAt = s.ownerFirstReadAt
	}
	return next
}

// unchanged is how long the head has been seen unchanged, less the time in paused.
func (s observation) unchanged() time.Duration { return s.readAt.Sub(s.firstReadAt) - s.paused }

// claimable reports whether a host with this share of processors may take the
// shard over. A weak host leaves it to the strong ones for a while; a strong
// one takes it from a weak owner: an owner that is short of processor time
// extends leases too late, and what runs is lost.
func (s observation) claimable(own mothferry.DaemonID, cores mothferry.Millicores) bool {
	unchanged := s.unchanged()
	patience := time.Duration(0)
	if float64(cores) < strongCoresFraction*float64(s.maxCores) {
		patience = weakClaimDelay
	}
	switch {
	case s.head.Holder == own && s.version != 0:
		// An earlier life of this very daemon: it is over, as this one runs.
		return true
	case s.version == 0:
		return unchanged >= initialClaimDelay+patience
	case s.head.Holder == "":
		return unchanged >= patience
	case unchanged >= s.lease()+patience:
		return true
	default:
		return float64(s.head.Cores) < strongCoresFraction*float64(cores) && s.readAt.Sub(s.ownerFirstReadAt) >= weakOwnerTenure
	}
}

// lastCommit is when the former owner's last commit was there at the latest: it
// was sent before this host first saw the version that it wrote. A head that
// still changed when the shard was claimed was written just before the claim.
func (s observation) lastCommit(claimed time.Time) time.Time {
	if s.unchanged() >= s.lease() {
		return s.firstReadAt
	}
	return claimed
}

// readHead reads the head row and the strongest share; version 0 means that
// there is no head yet.
func readHead(ctx context.Context, store mothferry.RowStore) (observation, error) {
	page, err := store.Range(ctx, mothferry.RowRange{
		Table: mfrecord.TableOwner, Part: mfrecord.PartShard,
		From: mfrecord.KeyHead, To: mfrecord.KeyMaxCores + "\x00",
	})
	var s observation
	for _, r := range page.Rows {
		switch r.Key {
		case mfrecord.KeyHead:
			s.version = r.Version
			s.head, err = mfrecord.DecodeHead(r.Value)
		case mfrecord.KeyMaxCores:
			s.maxCoresVersion = r.Version
			cores, _ := strconv.ParseInt(string(r.Value), 10, 64)
			s.maxCores = mothferry.Millicores(cores)
		}
		if err != nil {
			return s, err
		}
	}
	return s, err
}

// writeMaxCores tells the others of a larger share than any host has told of.
// If another host does so at the same time, the next look brings its figure.
func writeMaxCores(ctx context.Context, store mothferry.RowStore, cores mothferry.Millicores, version mothferry.Version) error {
	_, err := store.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyMaxCores, Version: version}},
		Writes: []mothferry.Write{{Table: mfrecord.TableOwner, Part: mfrecord.PartShard, Key: mfrecord.KeyMaxCores, Value: []byte(strconv.FormatInt(int64(cores), 10))}},
	})
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}
