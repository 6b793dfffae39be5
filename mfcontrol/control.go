// Package mfcontrol makes the fleet follow the documents: for each shard that
// this daemon holds it reads the shard's state, plans, publishes the plan and
// asks the workers for it.
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

// Leases tells which shards this daemon holds.
type Leases interface {
	Holdings() []mflease.Holding
	Valid(f mothferry.Fence) bool
	Lost(f mothferry.Fence)
}

// Peers is what control needs of the mesh.
type Peers interface {
	States() []mfpeer.State
	PushPlacement(ctx context.Context, p mfplacement.Record)
}

// StatusSource tells what this daemon itself has in force and in flight.
type StatusSource interface {
	Status() mfpeer.Status
}

// ErrLeaseExpired reports that the lease of a shard lapsed before an act. What was
// planned is given up: acting on it later, after the lease was renewed, would
// start tasks that no published placement holds.
type ErrLeaseExpired struct {
	Fence mothferry.Fence
}

// Error implements error.
func (e *ErrLeaseExpired) Error() string {
	return fmt.Sprintf("lease of shard %s lapsed in epoch %d", e.Fence.Shard, e.Fence.Epoch)
}

// Controller acts for the shards that this daemon holds.
type Controller struct {
	DataCentre mothferry.DataCentre
	Platform   mothferry.Platform
	Clock      mothferry.Clock
	Interval   time.Duration
	// Notice is how long after a daemon was last heard it counts as out, on
	// top of the longest deadline of the leaving runner's service.
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
	// hostList is the platform's host list, and listedAt when it was read.
	hostList       map[mothferry.HostID]mothferry.HostState
	hostListReadAt time.Time
	failures       mflog.FailureLog
}

// Run plans and acts until ctx ends.
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

// round brings the shards that are due one plan further.
func (c *Controller) round(ctx context.Context, holdings []mflease.Holding) {
	if err := c.refreshHosts(ctx); err != nil {
		c.failures.Failed(err, "Hosts cannot be read.")
		return
	}
	c.failures.Succeeded("Hosts can be read again.")
	now := c.Clock.Now()
	for _, h := range holdings {
		k := c.stateOf(h)
		if now.Before(k.nextPlan) && k.revision == c.Store.Current().Revision && k.hostsVersion == c.hostsVersion {
			continue
		}
		if err := c.refreshHostList(ctx, now); err != nil {
			c.Log.WithError(err).Warn("Host list could not be read.")
			return
		}
		if err := c.planShard(ctx, h, k); err != nil && ctx.Err() == nil {
			k.invalidate()
			c.Log.WithField("shard", h.Fence.Shard).WithError(err).Warn("Shard could not be brought up to its documents.")
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

// planShard brings one shard one plan further.
func (c *Controller) planShard(ctx context.Context, h mflease.Holding, k *shardState) error {
	if err := c.loadPlacement(ctx, k); err != nil {
		return err
	}
	snapshot := c.Store.Current()
	if snapshot.Revision == 0 || snapshot.Revision < k.placement.Revision {
		// This daemon has no documents yet, or older ones than the last plan
		// was made by. Planning by them would take runners away that the
		// documents in force ask for.
		return nil
	}
	k.revision, k.hostsVersion = snapshot.Revision, c.hostsVersion
	in, err := c.planInput(ctx, k, snapshot)
	if err != nil {
		return err
	}
	out := mfplace.Plan(in)
	if out.Changed {
		if err := c.publish(ctx, h, out.Placement, k); err != nil {
			return err
		}
	}
	for service, n := range out.Unplaced {
		c.Log.WithField("service", service).WithField("runners", n).WithField("shard", h.Fence.Shard).Warn("No host has room.")
	}
	k.schedule(c.Clock.Now(), c.Interval, settled(out) && !anyMoving(in.Hosts))
	if err := c.sendOrders(ctx, h.Fence, out); err != nil {
		return err
	}
	return c.releaseEmptyHosts(ctx, h, in.Hosts, out)
}

// planInput gathers what a plan depends on. The hosts and the placement come from
// what is remembered, see known.
func (c *Controller) planInput(ctx context.Context, k *shardState, snapshot *mfsnapshot.Snapshot) (mfplace.Input, error) {
	shard := k.fence.Shard
	in := mfplace.Input{Shard: shard, Epoch: k.fence.Epoch, Quiesced: c.quiesced, Previous: k.placement, Revision: snapshot.Revision}
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

// documentsOf returns those that place runners in a shard, ordered by service.
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

// publish writes a placement, fenced by the shard's row, and passes it on.
func (c *Controller) publish(ctx context.Context, h mflease.Holding, p mfplacement.Record, k *shardState) error {
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
		Checks: []mothferry.Check{h.Check, {Key: key, Version: k.version}},
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
	k.placement, k.version = p, version
	c.Store.AdoptPlacement(p)
	c.Peers.PushPlacement(ctx, p)
	return nil
}

// sendOrders asks the workers for what the plan says. Each request carries the
// epoch; a worker that has seen a later one refuses.
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
// runners. A host not heard for the notice and the service's deadline has
// nothing in flight any more that it could still bring to an end.
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

// poolOf returns the pool of a task that this data centre has in force.
func (c *Controller) poolOf(task mothferry.TaskID) mothferry.PoolID {
	for pool, p := range c.Store.Current().Placements {
		if slices.ContainsFunc(p.Runners, func(r mfplacement.Runner) bool { return r.Task == task }) {
			return pool
		}
	}
	return ""
}
