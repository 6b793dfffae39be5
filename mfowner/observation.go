// Package mfowner ensures that one entry host at a time owns a shard. It watches the owner,
// takes the shard over when the owner is lost, and then runs the scheduler: it feeds in
// events, executes commands, and makes each commit conditional on still owning the shard.
package mfowner

import (
	"context"
	"errors"
	"strconv"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

const (
	// pollInterval is how often a host reads who owns the shard. It bounds how long a released
	// shard has no owner.
	pollInterval = 300 * time.Millisecond
	// defaultLease is how long the head row must stay unchanged for its owner to count as
	// lost, if the read latency is unknown.
	defaultLease = 1100 * time.Millisecond
	// minLease is the same on a healthy store, where an idle owner's commits take 10 ms.
	// leaseLatencyFactor times the latency of the last read is added, up to maxLease: a commit
	// takes two answers, and may wait for another commit.
	minLease           = 700 * time.Millisecond
	leaseLatencyFactor = 4
	maxLease           = 3200 * time.Millisecond
	// maxPollGap is the longest time between two reads of an unchanged row that counts towards
	// the lease. Over a longer gap the row may be unchanged because the store was unavailable,
	// and an owner must not lose the shard for that. The latency of the later read is added:
	// a slow store answers, only late.
	maxPollGap = 900 * time.Millisecond
	// initialClaimDelay is how long the first claim of a shard waits, so that every host can
	// publish its CPU share.
	initialClaimDelay = time.Second
	// strongCoresFraction is the fraction of the largest CPU share from which a host counts as
	// strong.
	strongCoresFraction = 0.75
	// weakClaimDelay is how much longer a weak host waits: two polls of the others.
	weakClaimDelay = 800 * time.Millisecond
	// weakOwnerTenure is how long a strong host waits before it replaces a weak owner.
	weakOwnerTenure = 3 * time.Second
)

// observation is what a host last read of the head row.
type observation struct {
	head    mfrecord.Head
	version mothferry.Version
	// firstReadAt is when this version was first read, readAt when it was last read.
	firstReadAt, readAt time.Time
	// paused is the total lateness of this host's poll timers since firstReadAt. The owner may
	// have been paused for the same time.
	paused time.Duration
	// maxCores is the largest CPU share published by any host, maxCoresVersion the version of
	// its row.
	maxCores        mothferry.Millicores
	maxCoresVersion mothferry.Version
	// ownerFirstReadAt is when this owner was first read.
	ownerFirstReadAt time.Time
	// readLatency is how long the last read took; zero if unknown.
	readLatency time.Duration
}

// lease returns how long the head must stay unchanged.
func (s observation) lease() time.Duration {
	if s.readLatency <= 0 {
		return defaultLease
	}
	return min(maxLease, minLease+leaseLatencyFactor*s.readLatency)
}

// observe returns the observation that follows from s and the next read of the head row.
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

// unchanged returns how long the head has been unchanged, less the time in paused.
func (s observation) unchanged() time.Duration { return s.readAt.Sub(s.firstReadAt) - s.paused }

// claimable reports whether a host with this CPU share may take the shard over. A weak host
// waits longer than the strong ones, and a strong host replaces a weak owner: an owner short
// of CPU time extends leases too late, and running tasks are lost.
func (s observation) claimable(own mothferry.DaemonID, cores mothferry.Millicores) bool {
	unchanged := s.unchanged()
	delay := time.Duration(0)
	if float64(cores) < strongCoresFraction*float64(s.maxCores) {
		delay = weakClaimDelay
	}
	switch {
	case s.head.Holder == own && s.version != 0:
		// The holder is an earlier incarnation of this daemon, which has ended.
		return true
	case s.version == 0:
		return unchanged >= initialClaimDelay+delay
	case s.head.Holder == "":
		return unchanged >= delay
	case unchanged >= s.lease()+delay:
		return true
	default:
		return float64(s.head.Cores) < strongCoresFraction*float64(cores) && s.readAt.Sub(s.ownerFirstReadAt) >= weakOwnerTenure
	}
}

// lastCommit returns the time by which the previous owner's last commit was stored: it was
// sent before this host first read the version that it wrote. If the head was still changing
// when the shard was claimed, the last commit was stored just before the claim.
func (s observation) lastCommit(claimed time.Time) time.Time {
	if s.unchanged() >= s.lease() {
		return s.firstReadAt
	}
	return claimed
}

// readHead reads the head row and the largest CPU share. Version 0 means that there is no head
// yet.
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

// writeMaxCores publishes a CPU share larger than the stored one. On a conflict with another
// host's write, the next poll reads that host's share.
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
