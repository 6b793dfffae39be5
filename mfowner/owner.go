package mfowner

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfduty"
	"mothferry/mflog"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// WorkerSource watches the list of workers.
type WorkerSource interface {
	// Run calls apply until ctx ends: with all workers at first and after each full read of
	// the list, and otherwise with the workers that changed or were removed.
	Run(ctx context.Context, apply func(changed []mfsched.Worker, removed []mothferry.WorkerID, whole bool)) error
}

// Owner watches a shard, and runs it while this host owns it. The exported fields are set
// before Run.
type Owner struct {
	Daemon  mothferry.DaemonID
	Store   mothferry.RowStore
	Workers mothferry.TaskWorkers
	Adviser mothferry.Adviser
	Listing WorkerSource
	// WhileOwning runs while this host owns the shard; it may be nil.
	WhileOwning func(ctx context.Context)
	// Machines is the platform's machine API.
	Machines mothferry.Machines
	// Waves returns the maintenance waves requested by the operator.
	Waves func() []mfsched.Wave
	// ReportWave reports the progress of a wave to the operator.
	ReportWave func(ctx context.Context, wave mothferry.WaveID, completed bool) error
	// MachineHandoverDelay is the minimum time between another host's last change of a machine
	// and a change by this one.
	MachineHandoverDelay time.Duration
	// ReleaseViaPeer releases the shard through another host if the store does not serve this
	// one, by replacing the head of the given version. It reports whether that is stored; it
	// may be nil.
	ReleaseViaPeer func(ctx context.Context, head mfrecord.Head, version mothferry.Version) bool
	// Config returns the config in force, nil before the first one.
	Config func() *mfqueue.Config
	Limits mfsched.Limits
	// Off holds the disabled features.
	Off mothferry.FeaturesOff
	// Cores is this host's CPU share.
	Cores mothferry.Millicores
	// Link is the bandwidth of this host's link; zero if unknown.
	Link   mothferry.Bandwidth
	Clock  mothferry.Clock
	Random mothferry.Random
	Log    *log.Entry
	// OnDecision is called with the message of each logged decision, OnCommit with the
	// duration of each commit; both may be nil.
	OnDecision func(message string)
	OnCommit   func(took time.Duration)
	// OnPoolSizes is called with the actual and intended pool sizes, and with nil once this
	// host no longer owns the shard; it may be nil.
	OnPoolSizes func(sizes map[mothferry.ServiceID]mfduty.PoolSize)
	// OnSlowWorkers is called each second with the slow workers, and with none when the shard
	// is released or lost; it may be nil.
	OnSlowWorkers func(workers []mfsched.SlowWorker)

	// OnGauge is called each second with the shard's load, and with an empty one when the shard is
	// released or lost; it may be nil.
	OnGauge func(g mfsched.Gauge)

	// OnLoopTime is called each second with where the loop's time went and the longest wait of an
	// event for the loop, OnTaskStage with the duration of each stage of a task; both may be nil.
	OnLoopTime  func(spent map[LoopPart]time.Duration, queueWait time.Duration)
	OnTaskStage func(stage mfsched.TaskStage, took time.Duration)

	// OnJobEnd is called when a job of an account ends; it may be nil.
	OnJobEnd func(end mfsched.JobEnd)

	accountShares atomic.Pointer[Shares]
	// speed is used only by the goroutine of Run.
	speed speed
	// releasedAt is when this host last released the shard via a peer.
	releasedAt      time.Time
	lastHead        atomic.Pointer[mfrecord.Head]
	owning          atomic.Bool
	episode         mflog.FailureLog
	machinesEpisode mflog.FailureLog
}

// LastHead returns the head row as last read, or as this host last sent it as owner; nil
// before the first read.
func (o *Owner) LastHead() *mfrecord.Head { return o.lastHead.Load() }

// Shares is the allocation of capacity to client accounts and their usage, for operators.
type Shares struct {
	Allocation mfshare.Allocation
	// Used is the number of cores that the tasks of each account occupy.
	Used map[mothferry.AccountID]float64
}

// Shares returns the accounts' shares and usage; nil if this host does not own the shard.
func (o *Owner) Shares() *Shares {
	if !o.Owning() {
		return nil
	}
	return o.accountShares.Load()
}

// Owning reports whether this host owns the shard.
func (o *Owner) Owning() bool { return o.owning.Load() }

// Run watches the shard, and runs it while this host owns it, until ctx ends. It then releases
// the shard.
func (o *Owner) Run(ctx context.Context) error {
	o.episode.Log, o.machinesEpisode.Log = o.Log, o.Log
	var seen observation
	for {
		if o.Config() != nil {
			seen = o.watch(ctx, seen)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		delay, began := o.jitter(pollInterval), o.Clock.Now()
		if !mfclock.Sleep(ctx, o.Clock, delay) {
			return ctx.Err()
		}
		seen.paused += max(0, o.Clock.Now().Sub(began)-delay)
	}
}

func (o *Owner) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(o.Random.Float64()*float64(d/2))
}

// watch reads who owns the shard and takes it over if this host may claim it.
func (o *Owner) watch(ctx context.Context, seen observation) observation {
	o.probeSpeed()
	began := o.Clock.Now()
	next, err := readHead(ctx, o.Store)
	if err != nil {
		if ctx.Err() == nil {
			o.episode.Failed(err, "failed to read the shard's owner")
		}
		return seen
	}
	o.episode.Succeeded("reads of the shard's owner recovered")
	head, version := next.head, next.version
	if head.Holder != seen.head.Holder || head.Epoch != seen.head.Epoch {
		o.Log.WithFields(log.Fields{"holder": head.Holder, "epoch": head.Epoch, "version": version}).Info("shard owner changed")
	}
	now := o.Clock.Now()
	next.readLatency = now.Sub(began)
	seen = seen.observe(next, now)
	head.ReadAt, head.FirstReadAt = now, seen.firstReadAt
	o.lastHead.Store(&head)
	if o.Cores > seen.maxCores {
		if err := writeMaxCores(ctx, o.Store, o.Cores, seen.maxCoresVersion); err != nil {
			o.episode.Failed(err, "failed to publish this host's CPU share")
		}
		return seen
	}
	if !seen.claimable(o.Daemon, o.cores()) || now.Sub(o.releasedAt) < reclaimDelay {
		return seen
	}
	o.takeOver(ctx, seen)
	return observation{}
}

// takeOver claims the shard in a new epoch and runs it until it is lost or released.
func (o *Owner) takeOver(ctx context.Context, seen observation) {
	c := &committer{store: o.Store, clock: o.Clock, version: seen.version, session: uint64(o.Clock.Now().UnixNano())}
	began := o.Clock.Now()
	err := c.write(ctx, mfrecord.Head{
		Holder: o.Daemon, Epoch: seen.head.Epoch + 1, Cores: o.cores(),
		// The previous owner's leases count too until this owner has written the head again.
		LeaseTail: max(o.Limits.LeaseExpiryBound(), seen.head.LeaseTail), CallAges: seen.head.CallAges,
		CalledBy: predecessorCalls{ages: seen.head.CallAges, head: seen.head, self: o.Daemon}.otherCallers(),
	}, nil)
	entry := o.Log.WithFields(log.Fields{"epoch": seen.head.Epoch + 1, "former": seen.head.Holder, "unchanged_ms": seen.unchanged().Milliseconds(), "paused_ms": seen.paused.Milliseconds(), "millicores": o.cores()})
	if err != nil {
		entry.WithError(err).Info("shard was not taken over")
		return
	}
	entry.Info("shard is taken over")
	o.owning.Store(true)
	defer o.owning.Store(false)
	o.accountShares.Store(nil)
	err = o.run(ctx, c, began, seen)
	var lost *errOwnershipLost
	switch {
	case errors.Is(err, errReleasedByPeer):
		o.releasedAt = o.Clock.Now()
		o.Log.WithField("epoch", c.head.Epoch).Warn("shard released via a peer, store does not serve this host")
	case errors.As(err, &lost):
		o.Log.WithError(err).Warn("shard is lost")
	case ctx.Err() != nil:
		o.releaseShard(c)
	default:
		o.Log.WithError(err).Error("failed to run shard")
	}
}

// releaseTimeout bounds the last commit of a host that is shutting down.
const releaseTimeout = 800 * time.Millisecond

// releaseShard stores that the shard has no owner, so that other hosts need not wait for the
// lease to expire.
func (o *Owner) releaseShard(c *committer) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	head := c.head
	head.Holder = ""
	if err := c.write(ctx, head, nil); err != nil {
		o.Log.WithError(err).Warn("failed to release shard, other hosts wait for its lease")
		return
	}
	o.Log.WithField("epoch", head.Epoch).Info("shard is given up")
}
