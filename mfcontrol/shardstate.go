package mfcontrol

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfhost"
	"mothferry/mflease"
	"mothferry/mfplace"
	"mothferry/mfplacement"
)

// maxIdleFactor is how many times the interval a shard waits at the most while
// nothing happens there. It bounds how late the death of a worker is noticed;
// requests are led around dead runners long before by the daemons themselves.
const maxIdleFactor = 8

// hostListIntervals is how many intervals the host list is kept for.
const hostListIntervals = 4

// shardState is what a holder remembers of a shard. Only the holder writes the
// placement, checked by the shard's row, so what it last wrote is what the row
// holds; reading it back with each plan would cost the platform's bytes for
// nothing. A new epoch or any error forgets it.
type shardState struct {
	fence     mothferry.Fence
	loaded    bool
	placement mfplacement.Record
	version   mothferry.Version
	// revision and hostsVersion are what the last plan took into account.
	revision     mothferry.Revision
	hostsVersion mothferry.Version
	// nextPlan is when the next plan is made, and wait the time between the last two.
	nextPlan     time.Time
	planInterval time.Duration
}

// stateOf returns what is known of a held shard, nothing for a new epoch.
func (c *Controller) stateOf(h mflease.Holding) *shardState {
	k, ok := c.shards[h.Fence.Shard.Pool]
	if !ok || k.fence != h.Fence {
		k = &shardState{fence: h.Fence}
		c.shards[h.Fence.Shard.Pool] = k
	}
	return k
}

// invalidate makes the next plan read everything anew, at the next round.
func (k *shardState) invalidate() {
	k.loaded, k.nextPlan, k.planInterval = false, time.Time{}, 0
}

// schedule sets when the next plan is made: soon while something is under
// way, later and later while nothing is.
func (k *shardState) schedule(now time.Time, interval time.Duration, settled bool) {
	k.planInterval = min(2*k.planInterval, maxIdleFactor*interval)
	if !settled || k.planInterval == 0 {
		k.planInterval = interval
	}
	// Half an interval is taken off, as rounds are never exactly on time.
	k.nextPlan = now.Add(k.planInterval - interval/2)
}

// settled reports whether a plan left nothing to wait for.
func settled(out mfplace.Output) bool {
	if out.Changed || len(out.Starts)+len(out.Stops) > 0 {
		return false
	}
	for _, r := range out.Placement.Runners {
		if r.State != mfplacement.StateServing {
			return false
		}
	}
	return true
}

// loadPlacement reads the shard's placement unless it is remembered.
func (c *Controller) loadPlacement(ctx context.Context, k *shardState) error {
	if k.loaded {
		return nil
	}
	rows, err := c.Platform.Table.Read(ctx, mothferry.Query{Keys: []mothferry.Key{mfplacement.Key(k.fence.Shard)}})
	if err != nil {
		return trace.Wrap(err)
	}
	k.placement, k.version = mfplacement.Record{}, 0
	for _, r := range rows {
		k.version = r.Version
		if k.placement, err = mfplacement.Decode(r.Value); err != nil {
			return err
		}
	}
	k.loaded = true
	return nil
}

// refreshHosts reads the hosts' rows if any has changed: every change of a
// host's row changes the data centre's row as well.
func (c *Controller) refreshHosts(ctx context.Context) error {
	key := mfhost.ChangesKey(c.DataCentre)
	rows, err := c.Platform.Table.Read(ctx, mothferry.Query{Keys: []mothferry.Key{key}})
	if err != nil {
		return trace.Wrap(err)
	}
	version := versionOf(rows, key)
	if c.hostsLoaded && version == c.hostsVersion {
		return nil
	}
	query := mothferry.Query{Keys: []mothferry.Key{key}, Prefixes: []mothferry.Key{mfhost.Prefix(c.DataCentre)}}
	if rows, err = c.Platform.Table.Read(ctx, query); err != nil {
		return trace.Wrap(err)
	}
	var hosts []hostRow
	for _, r := range rows {
		if r.Key == key {
			continue
		}
		record, err := mfhost.Decode(r.Value)
		if err != nil {
			return err
		}
		hosts = append(hosts, hostRow{record: record, version: r.Version})
	}
	c.hosts, c.hostsVersion, c.hostsLoaded = hosts, versionOf(rows, key), true
	return nil
}

// refreshHostList reads the platform's host list, one for all shards, unless it
// was read a moment ago. The list lags by itself; a little more does no harm,
// and it is as long as the data centre has hosts.
func (c *Controller) refreshHostList(ctx context.Context, now time.Time) error {
	if c.hostList != nil && now.Sub(c.hostListReadAt) < hostListIntervals*c.Interval {
		return nil
	}
	hosts, err := c.Platform.Hosts.Hosts(ctx, c.DataCentre)
	if err != nil {
		return trace.Wrap(err)
	}
	c.hostList, c.hostListReadAt = map[mothferry.HostID]mothferry.HostState{}, now
	for _, h := range hosts {
		c.hostList[h.Host] = h.State
	}
	return nil
}

func versionOf(rows []mothferry.Row, key mothferry.Key) mothferry.Version {
	for _, r := range rows {
		if r.Key == key {
			return r.Version
		}
	}
	return 0
}
