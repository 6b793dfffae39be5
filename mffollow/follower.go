// Package mffollow keeps a daemon's snapshot up to date: from what peers push
// and tell in heartbeats, and from the platform's table, which the first
// daemons of each data centre poll.
package mffollow

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfchange"
	"mothferry/mfclock"
	"mothferry/mflog"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfroute"
	"mothferry/mfsnapshot"
)

// pollers is how many daemons of a data centre poll at the full rate. The
// others poll slowFactor times less often: they learn from their peers, and
// the table's reads stay bounded however many daemons there are.
const (
	fullRatePollers = 2
	slowPollFactor  = 10
)

// StatusProvider tells what this daemon can take over and has in flight.
type StatusProvider interface {
	Statuses() map[mothferry.ServiceID]mfpeer.ServiceStatus
	InFlightLeaving(p mfplacement.Record) int
}

// Source says where the snapshot in force came from.
type Source string

// Sources of a snapshot.
const (
	SourceNone     Source = "none"
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
)

// Follower keeps one daemon's snapshot up to date. It is the mesh's Node.
type Follower struct {
	Self         mothferry.DaemonID
	DataCentre   mothferry.DataCentre
	Clock        mothferry.Clock
	Table        mothferry.Table
	Store        *mfsnapshot.Store
	Mesh         *mfpeer.Mesh
	PollInterval time.Duration
	Heartbeat    time.Duration
	// CompareTimeout is how long one comparison with peers may take.
	CompareTimeout time.Duration
	// MaxConfirmAge is the maximum age of the last comparison. Beyond it the daemon is considered
	// paused and does not report its placements to peers.
	MaxConfirmAge time.Duration
	Log           *log.Entry

	incarnation uint64
	fetches     chan func(context.Context)

	mutex           sync.Mutex
	statusProvider  StatusProvider
	stopping        bool
	source          Source
	platformReached time.Time
	fetching        map[string]bool
	// confirmed is when the last comparison with others began that is done.
	confirmed time.Time

	// nextPeer is the peer to compare with next; only Run uses it.
	nextPeer int
}

// fetchBacklog bounds the fetches that wait; one that finds no room is tried
// again with the next heartbeat.
const fetchBacklog = 64

// Prepare readies the follower for use before Run.
func (f *Follower) Prepare(random mothferry.Random) {
	f.incarnation = uint64(f.Clock.Now().UnixNano()) ^ uint64(random.IntN(1<<30))
	f.fetches = make(chan func(context.Context), fetchBacklog)
	f.fetching = map[string]bool{}
	f.confirmed = f.Clock.Now()
	f.source = SourceNone
}

// SetStatusProvider names what heartbeats tell of the daemon's requests.
func (f *Follower) SetStatusProvider(o StatusProvider) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.statusProvider = o
}

// SetStopping makes heartbeats tell that the daemon takes no more work.
func (f *Follower) SetStopping() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stopping = true
}

// Source returns where the snapshot in force came from, and when the platform last replied.
func (f *Follower) Source() (Source, time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.source, f.platformReached
}

// Run polls the table and fetches from peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.poll(ctx) })
	group.Go(func() { f.confirm(ctx) })
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fetch := <-f.fetches:
			fetch(ctx)
		}
	}
}

func (f *Follower) poll(ctx context.Context) {
	failures := mflog.FailureLog{Log: f.Log}
	for round := 0; ; round++ {
		if round%slowPollFactor == 0 || f.pollsAtFullRate() {
			err := f.readTable(ctx)
			switch {
			case err == nil:
				failures.Succeeded("Platform's table can be read again.")
			case ctx.Err() == nil:
				failures.Failed(err, "Platform's table cannot be read.")
			}
		}
		if !mfclock.Sleep(ctx, f.Clock, f.PollInterval) {
			return
		}
	}
}

// pollsAtFullRate reports whether this daemon is among the first of the live
// entry hosts of its data centre.
func (f *Follower) pollsAtFullRate() bool {
	live := []mothferry.DaemonID{f.Self}
	for _, s := range f.Mesh.Live(4 * f.Heartbeat) {
		if s.Peer.DataCentre == f.DataCentre {
			live = append(live, s.Peer.Daemon)
		}
	}
	ranked := mfroute.Rank("poll", live)
	return slices.Index(ranked, f.Self) < fullRatePollers
}

// readTable compares the table's revision and placement generations with
// those in force and reads what is newer.
func (f *Follower) readTable(ctx context.Context) error {
	query := mothferry.Query{
		Keys:     []mothferry.Key{mfchange.RevisionKey},
		Prefixes: []mothferry.Key{mfplacement.GenerationPrefix(f.DataCentre)},
	}
	rows, err := f.Table.Read(ctx, query)
	if err != nil {
		return trace.Wrap(err)
	}
	f.mutex.Lock()
	f.platformReached = f.Clock.Now()
	f.mutex.Unlock()
	current := f.Store.Current()
	var newer []mothferry.Key
	for _, r := range rows {
		number, err := strconv.ParseUint(string(r.Value), 10, 64)
		if err != nil {
			return trace.Wrap(&mothferry.ErrBadReply{Operation: "read of " + string(r.Key), Detail: err.Error()})
		}
		if r.Key == mfchange.RevisionKey {
			if mothferry.Revision(number) > current.Revision {
				if err := f.readDocuments(ctx); err != nil {
					return err
				}
			}
			continue
		}
		pool := mothferry.PoolID(strings.TrimPrefix(string(r.Key), string(mfplacement.GenerationPrefix(f.DataCentre))))
		if mothferry.Generation(number) > current.Placements[pool].Generation {
			newer = append(newer, mfplacement.Key(mothferry.Shard{DataCentre: f.DataCentre, Pool: pool}))
		}
	}
	return f.readPlacements(ctx, newer)
}

func (f *Follower) readDocuments(ctx context.Context) error {
	delta, err := mfchange.ReadAll(ctx, f.Table)
	if err != nil {
		return err
	}
	f.adopt(delta, SourcePlatform)
	return nil
}

func (f *Follower) readPlacements(ctx context.Context, keys []mothferry.Key) error {
	if len(keys) == 0 {
		return nil
	}
	rows, err := f.Table.Read(ctx, mothferry.Query{Keys: keys})
	if err != nil {
		return trace.Wrap(err)
	}
	for _, r := range rows {
		record, err := mfplacement.Decode(r.Value)
		if err != nil {
			return err
		}
		f.Store.AdoptPlacement(record)
	}
	return nil
}

func (f *Follower) adopt(d mfsnapshot.Delta, from Source) {
	if !f.Store.AdoptDelta(d) {
		return
	}
	f.mutex.Lock()
	f.source = from
	f.mutex.Unlock()
	f.Log.WithField("revision", d.Revision).WithField("source", from).Info("Documents are in force.")
}

// Status implements mfpeer.Node.
func (f *Follower) Status() mfpeer.Status {
	f.mutex.Lock()
	offers, stopping := f.statusProvider, f.stopping
	stale := f.Clock.Now().Sub(f.confirmed) > f.MaxConfirmAge
	f.mutex.Unlock()
	current := f.Store.Current()
	status := mfpeer.Status{
		Incarnation: f.incarnation,
		Revision:    current.Revision,
		Stopping:    stopping,
		Shards:      map[mothferry.PoolID]mfpeer.ShardStatus{},
	}
	for pool, p := range current.Placements {
		if stale {
			// A peer with the same old placements would treat them as confirmed.
			break
		}
		shard := mfpeer.ShardStatus{Generation: p.Generation}
		if offers != nil {
			shard.InFlightLeaving = offers.InFlightLeaving(p)
		}
		status.Shards[pool] = shard
	}
	if offers != nil {
		status.Services = offers.Statuses()
	}
	return status
}

// Since implements mfpeer.Node.
func (f *Follower) Since(base mothferry.Revision) mfsnapshot.Delta {
	return f.Store.Since(base)
}

// Placement implements mfpeer.Node.
func (f *Follower) Placement(pool mothferry.PoolID) (mfplacement.Record, bool) {
	p, ok := f.Store.Current().Placements[pool]
	return p, ok
}

// HandleStatus implements mfpeer.Node: what the peer has newer is fetched from it.
func (f *Follower) HandleStatus(from mfpeer.Peer, s mfpeer.Status) {
	current := f.Store.Current()
	if s.Revision > current.Revision {
		f.fetchChanges(from)
	}
	if from.DataCentre != f.DataCentre {
		return
	}
	for pool, k := range s.Shards {
		if k.Generation > current.Placements[pool].Generation {
			f.fetchPlacement(from, pool)
		}
	}
}

// HandleChanges implements mfpeer.Node.
func (f *Follower) HandleChanges(from mfpeer.Peer, d mfsnapshot.Delta) {
	f.adopt(d, SourcePeer)
	if f.Store.Current().Revision < d.Revision {
		f.fetchChanges(from)
	}
}

// HandlePlacement implements mfpeer.Node.
func (f *Follower) HandlePlacement(_ mfpeer.Peer, p mfplacement.Record) {
	if p.DataCentre == f.DataCentre {
		f.Store.AdoptPlacement(p)
	}
}

// PublishAccepted puts documents in force that this daemon accepted itself, and
// pushes them to the peers.
func (f *Follower) PublishAccepted(ctx context.Context, revision mothferry.Revision) error {
	base := f.Store.Current().Revision
	if base < revision {
		if err := f.readDocuments(ctx); err != nil {
			return err
		}
	}
	f.Mesh.Push(ctx, f.Store.Since(base))
	return nil
}

func (f *Follower) fetchChanges(from mfpeer.Peer) {
	f.fetch("changes", func(ctx context.Context) error {
		delta, err := f.Mesh.Changes(ctx, from.Daemon, f.Store.Current().Revision)
		if err != nil {
			return err
		}
		f.adopt(delta, SourcePeer)
		return nil
	})
}

func (f *Follower) fetchPlacement(from mfpeer.Peer, pool mothferry.PoolID) {
	f.fetch("placement "+string(pool), func(ctx context.Context) error {
		f.adoptPlacement(ctx, from, pool)
		return nil
	})
}

// fetch queues one fetch unless one of the same subject waits already.
func (f *Follower) fetch(subject string, act func(context.Context) error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.fetching[subject] {
		return
	}
	run := func(ctx context.Context) {
		err := act(ctx)
		f.mutex.Lock()
		delete(f.fetching, subject)
		f.mutex.Unlock()
		var gone *mfpeer.ErrNoSession
		if err != nil && ctx.Err() == nil && !errors.As(err, &gone) {
			f.Log.WithField("subject", subject).WithError(err).Warn("Fetch from a peer failed.")
		}
	}
	select {
	case f.fetches <- run:
		f.fetching[subject] = true
	default:
	}
}
