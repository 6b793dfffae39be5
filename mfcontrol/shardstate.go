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

// maxIdleFactor is the maximum time between two plans of a settled shard, in
// intervals. It bounds how late the failure of a worker is noticed; the entry hosts
// stop routing requests to failed runners much earlier.
const maxIdleFactor = 8

// hostListIntervals is the number of intervals for which the host list is cached.
const hostListIntervals = 4

// shardState is what a holder caches of a shard. Only the holder writes the
// placement, checked by the shard's row, so the row holds what it wrote last;
// reading it with each plan would only cost bandwidth to the platform. A new
// epoch or any error invalidates it.
type shardState struct {
	fence     mothferry.Fence
	loaded    bool
	placement mfplacement.Record
	version   mothferry.Version
	// revision and hostsVersion are those that the last plan was based on.
	revision     mothferry.Revision
	hostsVersion mothferry.Version
	// nextPlan is when the next plan is made, and planInterval the time between two plans.
	nextPlan     time.Time
	planInterval time.Duration
}

// stateOf returns the cached state of a held shard; it is empty for a new epoch.
func (c *Controller) stateOf(h mflease.Holding) *shardState {
	state, ok := c.shards[h.Fence.Shard.Pool]
	if !ok || state.fence != h.Fence {
		state = &shardState{fence: h.Fence}
		c.shards[h.Fence.Shard.Pool] = state
	}
	return state
}

// invalidate makes the next round read the placement and plan again.
func (s *shardState) invalidate() {
	s.loaded, s.nextPlan, s.planInterval = false, time.Time{}, 0
}

// schedule sets when the next plan is made: after one interval while changes are
// in progress, after doubling intervals while the shard is settled.
func (s *shardState) schedule(now time.Time, interval time.Duration, settled bool) {
	s.planInterval = min(2*s.planInterval, maxIdleFactor*interval)
	if !settled || s.planInterval == 0 {
		s.planInterval = interval
	}
	// Half an interval is subtracted because rounds are never exactly on time.
	s.nextPlan = now.Add(s.planInterval - interval/2)
}

// settled reports whether a plan has no changes in progress.
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

// loadPlacement reads the shard's placement unless it is cached.
func (c *Controller) loadPlacement(ctx context.Context, state *shardState) error {
	if state.loaded {
		return nil
	}
	rows, err := c.Platform.Table.Read(ctx, mothferry.Query{Keys: []mothferry.Key{mfplacement.Key(state.fence.Shard)}})
	if err != nil {
		return trace.Wrap(err)
	}
	state.placement, state.version = mfplacement.Record{}, 0
	for _, r := range rows {
		state.version = r.Version
		if state.placement, err = mfplacement.Decode(r.Value); err != nil {
			return err
		}
	}
	state.loaded = true
	return nil
}

// refreshHosts reads the hosts' rows if any has changed, which the version of the
// data centre's row shows: it is written with every change of a host's row.
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

// refreshHostList reads the platform's host list for all shards if the cached one
// is too old. The list is delayed anyway, so caching it does no harm, and it is long:
// it has an entry for each host of the data centre.
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
