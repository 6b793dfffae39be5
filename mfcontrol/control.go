// Package mfcontrol reconciles the fleet with the service documents: for each
// shard that this daemon holds it reads the shard's state, plans, publishes the
// plan and sends the orders to the workers.
package mfcontrol

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdocument"
	"mothferry/mflease"
	"mothferry/mflog"
	"mothferry/mfpeer"
	"mothferry/mfplace"
	"mothferry/mfplacement"
	"mothferry/mfsnapshot"
)

// Leases reports which shards this daemon holds.
type Leases interface {
	Holdings() []mflease.Holding
	Valid(f mothferry.Fence) bool
	Lost(f mothferry.Fence)
}

// Peers is the part of the peer mesh that control uses.
type Peers interface {
	States() []mfpeer.State
	PushPlacement(ctx context.Context, p mfplacement.Record)
}

// StatusSource reports what this daemon itself has in force and in flight.
type StatusSource interface {
	Status() mfpeer.Status
}

// ErrLeaseExpired reports that the lease of a shard expired before a plan was
// published. The plan is dropped: executing it later, after the lease was
// renewed, would start tasks that are in no published placement.
type ErrLeaseExpired struct {
	Fence mothferry.Fence
}

// Error implements error.
func (e *ErrLeaseExpired) Error() string {
	return fmt.Sprintf("lease of shard %s expired in epoch %d", e.Fence.Shard, e.Fence.Epoch)
}

// Controller plans and sends orders for the shards that this daemon holds.
type Controller struct {
	DataCentre mothferry.DataCentre
	Platform   mothferry.Platform
	Clock      mothferry.Clock
	Interval   time.Duration
	// Notice plus the request deadline of a leaving runner's service is how long
	// after its last heartbeat a daemon counts as having no request in flight.
	Notice time.Duration
	Leases Leases
	Peers  Peers
	Self   StatusSource
	Store  *mfsnapshot.Store
	Log    *log.Entry

	// Only Run uses the fields below.
	shards map[mothferry.PoolID]*shardState
	// hosts are the rows of this data centre's hosts as of hostsVersion.
	hosts        []hostRow
	hostsVersion mothferry.Version
	hostsLoaded  bool
	// hostList is the platform's host list, and hostListReadAt when it was read.
	hostList       map[mothferry.HostID]mothferry.HostState
	hostListReadAt time.Time
	failures       mflog.FailureLog
}

// Run plans and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.shards = map[mothferry.PoolID]*shardState{}
	c.failures = mflog.FailureLog{Log: c.Log}
	for {
		if holdings := c.Leases.Holdings(); len(holdings) > 0 {
			c.round(ctx, holdings)
		}
		if !mfclock.Sleep(ctx, c.Clock, c.Interval) {
			return ctx.Err()
		}
	}
}

// round plans the shards whose next plan is due or whose documents or hosts have changed.
func (c *Controller) round(ctx context.Context, holdings []mflease.Holding) {
	if err := c.refreshHosts(ctx); err != nil {
		c.failures.Failed(err, "hosts could not be read")
		return
	}
	c.failures.Succeeded("hosts can be read again")
	now := c.Clock.Now()
	for _, h := range holdings {
		state := c.stateOf(h)
		if now.Before(state.nextPlan) && state.revision == c.Store.Current().Revision && state.hostsVersion == c.hostsVersion {
			continue
		}
		if err := c.refreshHostList(ctx, now); err != nil {
			c.Log.WithError(err).Warn("host list could not be read")
			return
		}
		if err := c.planShard(ctx, h, state); err != nil && ctx.Err() == nil {
			state.invalidate()
			c.Log.WithField("shard", h.Fence.Shard).WithError(err).Warn("shard could not be reconciled with its documents")
		}
	}
}

// WantedPools returns the pools of this data centre that documents name or
// placements still use.
func (c *Controller) WantedPools() []mothferry.PoolID {
	current := c.Store.Current()
	var pools []mothferry.PoolID
	for _, r := range current.Documents {
		if slices.Contains(r.Document.Place.DataCentres, c.DataCentre) {
			pools = append(pools, r.Document.Place.Pools...)
		}
	}
	for pool := range current.Placements {
		pools = append(pools, pool)
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// planShard makes, publishes and executes one plan of a shard.
func (c *Controller) planShard(ctx context.Context, h mflease.Holding, state *shardState) error {
	if err := c.loadPlacement(ctx, state); err != nil {
		return err
	}
	snapshot := c.Store.Current()
	if snapshot.Revision == 0 || snapshot.Revision < state.placement.Revision {
		// This daemon has no documents yet, or older ones than those of the last
		// plan. Planning by them would remove runners that the current documents
		// ask for.
		return nil
	}
	state.revision, state.hostsVersion = snapshot.Revision, c.hostsVersion
	in, err := c.planInput(ctx, state, snapshot)
	if err != nil {
		return err
	}
	out := mfplace.Plan(in)
	if out.Changed {
		if err := c.publish(ctx, h, out.Placement, state); err != nil {
			return err
		}
	}
	for service, n := range out.Unplaced {
		c.Log.WithField("service", service).WithField("runners", n).WithField("shard", h.Fence.Shard).Warn("runners are unplaced: no host has free capacity")
	}
	state.schedule(c.Clock.Now(), c.Interval, settled(out) && !anyMoving(in.Hosts))
	if err := c.sendOrders(ctx, h.Fence, out); err != nil {
		return err
	}
	return c.releaseEmptyHosts(ctx, h, in.Hosts, out)
}

// planInput collects the input of a plan. The hosts and the placement come from
// the cache, see shardState.
func (c *Controller) planInput(ctx context.Context, state *shardState, snapshot *mfsnapshot.Snapshot) (mfplace.Input, error) {
	shard := state.fence.Shard
	in := mfplace.Input{Shard: shard, Epoch: state.fence.Epoch, Quiesced: c.quiesced, Previous: state.placement, Revision: snapshot.Revision}
	reports, err := c.reports(ctx, shard)
	if err != nil {
		return in, err
	}
	for _, h := range c.hosts {
		if h.record.Pool == shard.Pool {
			tasks, reported := reports[h.record.Host]
			in.Hosts = append(in.Hosts, mfplace.Host{Record: h.record, Listed: c.hostList[h.record.Host], Reported: reported, Tasks: tasks})
		}
	}
	in.Documents = documentsOf(snapshot, shard)
	return in, nil
}

func (c *Controller) reports(ctx context.Context, s mothferry.Shard) (map[mothferry.HostID]map[mothferry.TaskID]mothferry.TaskStatus, error) {
	var hosts []mothferry.HostID
	for _, h := range c.hosts {
		if h.record.Pool == s.Pool {
			hosts = append(hosts, h.record.Host)
		}
	}
	reports, err := c.Platform.Workers.Reports(ctx, s.DataCentre, hosts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	out := map[mothferry.HostID]map[mothferry.TaskID]mothferry.TaskStatus{}
	for _, r := range reports {
		tasks := map[mothferry.TaskID]mothferry.TaskStatus{}
		for _, t := range r.Tasks {
			tasks[t.Task] = t
		}
		out[r.Host] = tasks
	}
	return out, nil
}

// documentsOf returns the documents that place runners in a shard, ordered by service.
func documentsOf(snapshot *mfsnapshot.Snapshot, s mothferry.Shard) []mfdocument.Document {
	var documents []mfdocument.Document
	for _, r := range snapshot.Documents {
		if r.Document.Share(s) > 0 {
			documents = append(documents, r.Document)
		}
	}
	slices.SortFunc(documents, func(a, b mfdocument.Document) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return documents
}

// publish writes a placement, fenced by the shard's row, and pushes it to the peers.
func (c *Controller) publish(ctx context.Context, h mflease.Holding, p mfplacement.Record, state *shardState) error {
	data, err := p.Encode()
	if err != nil {
		return err
	}
	if !c.Leases.Valid(h.Fence) {
		return trace.Wrap(&ErrLeaseExpired{Fence: h.Fence})
	}
	key := mfplacement.Key(h.Fence.Shard)
	generation := []byte(strconv.FormatUint(uint64(p.Generation), 10))
	version, err := c.Platform.Table.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{h.Check, {Key: key, Version: state.version}},
		Writes: []mothferry.Write{
			{Key: key, Value: data},
			{Key: mfplacement.GenerationKey(h.Fence.Shard), Value: generation},
		},
	})
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		for _, r := range conflict.Rows {
			if r.Key == h.Check.Key {
				c.Leases.Lost(h.Fence)
			}
		}
	}
	if err != nil {
		return trace.Wrap(err)
	}
	state.placement, state.version = p, version
	c.Store.AdoptPlacement(p)
	c.Peers.PushPlacement(ctx, p)
	return nil
}

// sendOrders sends the plan's starts and stops to the workers. Each order carries
// the epoch; a worker that has seen a later one refuses it.
func (c *Controller) sendOrders(ctx context.Context, f mothferry.Fence, out mfplace.Output) error {
	for _, s := range out.Starts {
		if !c.Leases.Valid(f) {
			return nil
		}
		if err := c.Platform.Workers.Start(ctx, s.Host, f, s.Task); err != nil {
			return c.checkFenced(f, err)
		}
	}
	for _, s := range out.Stops {
		if !c.Leases.Valid(f) {
			return nil
		}
		if err := c.Platform.Workers.Stop(ctx, s.Host, f, s.Task); err != nil {
			return c.checkFenced(f, err)
		}
	}
	return nil
}

func (c *Controller) checkFenced(f mothferry.Fence, err error) error {
	var fenced *mothferry.ErrFenced
	if errors.As(err, &fenced) {
		c.Leases.Lost(f)
	}
	return trace.Wrap(err)
}

// quiesced reports whether every entry host of the data centre has a leaving
// runner's state in force and nothing in flight at the shard's leaving
// runners. A host without a heartbeat for Notice plus the service's deadline is
// ignored: all its requests have passed their deadline.
func (c *Controller) quiesced(r mfplacement.Runner) bool {
	pool := c.poolOf(r.Task)
	if !quiescedIn(c.Self.Status(), pool, r.LeavingSince) {
		return false
	}
	document, _ := c.Store.Current().Document(r.Service)
	bound := c.Notice + document.Document.Requests.Deadline
	now := c.Clock.Now()
	for _, s := range c.Peers.States() {
		if s.Peer.DataCentre != c.DataCentre || s.LastHeard.IsZero() || now.Sub(s.LastHeard) > bound {
			continue
		}
		if !quiescedIn(s.Status, pool, r.LeavingSince) {
			return false
		}
	}
	return true
}

func quiescedIn(s mfpeer.Status, pool mothferry.PoolID, since mothferry.Generation) bool {
	shard := s.Shards[pool]
	return shard.Generation >= since && shard.InFlightLeaving == 0
}

// poolOf returns the pool whose current placement has a task.
func (c *Controller) poolOf(task mothferry.TaskID) mothferry.PoolID {
	for pool, p := range c.Store.Current().Placements {
		if slices.ContainsFunc(p.Runners, func(r mfplacement.Runner) bool { return r.Task == task }) {
			return pool
		}
	}
	return ""
}
