package mflease

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mflog"
	"mothferry/mfroute"
)

// A lease is renewed once a third of it has passed. The holder itself treats it as expired while
// an eighth is still left, so that an action started just before the end is not still under way
// after it.
const (
	renewDivisor  = 3
	marginDivisor = 8
)

// maxHolders is how many daemons of a data centre hold shards. More holders would spread the
// work further, at the cost of renewing one row each.
const maxHolders = 4

// Keeper renews this daemon's lease and claims shards.
type Keeper struct {
	Self       mothferry.DaemonID
	DataCentre mothferry.DataCentre
	Table      mothferry.Table
	Clock      mothferry.Clock
	Lease      time.Duration
	// Live returns the daemons of this data centre that are believed alive, including this one.
	Live func() []mothferry.DaemonID
	// Wanted returns the pools of this data centre that need a holder.
	Wanted   func() []mothferry.PoolID
	NewToken func() mothferry.Token
	Log      *log.Entry

	mutex   sync.Mutex
	version mothferry.Version
	until   time.Time
	held    map[mothferry.PoolID]observedShard

	// Only Run uses the fields below.
	watches map[mothferry.DaemonID]rowWatch
}

// Run renews the lease and claims shards until ctx ends, then releases the lease.
func (k *Keeper) Run(ctx context.Context) error {
	k.watches = map[mothferry.DaemonID]rowWatch{}
	failures := mflog.FailureLog{Log: k.Log}
	for {
		err := k.round(ctx)
		switch {
		case err == nil:
			failures.Succeeded("lease renewal and shard claims succeed again")
		case ctx.Err() == nil:
			failures.Failed(err, "lease renewal or shard claim failed")
		}
		if !mfclock.Sleep(ctx, k.Clock, k.Lease/(2*renewDivisor)) {
			k.resign()
			return ctx.Err()
		}
	}
}

// Holdings returns the shards that this daemon may act for now.
func (k *Keeper) Holdings() []Holding {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !k.Clock.Now().Before(k.until) {
		return nil
	}
	var out []Holding
	for _, pool := range slices.Sorted(maps.Keys(k.held)) {
		out = append(out, k.holding(pool))
	}
	return out
}

// Valid reports whether this daemon may still act under a fence.
func (k *Keeper) Valid(f mothferry.Fence) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s, ok := k.held[f.Shard.Pool]
	return ok && s.row.Epoch == f.Epoch && k.Clock.Now().Before(k.until)
}

func (k *Keeper) holding(pool mothferry.PoolID) Holding {
	s := k.held[pool]
	shard := mothferry.Shard{DataCentre: k.DataCentre, Pool: pool}
	return Holding{
		Fence: mothferry.Fence{Shard: shard, Epoch: s.row.Epoch},
		Check: mothferry.Check{Key: ShardKey(shard), Version: s.version},
	}
}

// Lost drops a shard if a failed check showed that its holder has changed.
func (k *Keeper) Lost(f mothferry.Fence) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if s, ok := k.held[f.Shard.Pool]; ok && s.row.Epoch == f.Epoch {
		delete(k.held, f.Shard.Pool)
	}
}

// round renews the lease if needed and claims the shards that this daemon should hold.
func (k *Keeper) round(ctx context.Context) error {
	if !k.isCandidate() && !k.holdsAny() {
		return nil
	}
	if err := k.renew(ctx); err != nil {
		return err
	}
	v, err := k.read(ctx)
	if err != nil {
		return err
	}
	now := k.Clock.Now()
	k.watches = updateWatches(k.watches, v, now)
	k.dropTakenOver(v)
	for _, pool := range k.Wanted() {
		if err := k.claimIfFirst(ctx, v, pool, now); err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) isCandidate() bool {
	ranked := mfroute.Rank("holders", k.Live())
	return slices.Index(ranked, k.Self) < maxHolders
}

func (k *Keeper) holdsAny() bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.held) > 0
}

// renew writes this daemon's row if a third of the lease has passed. An expired lease may be
// renewed: a daemon that took over a shard meanwhile has deleted the row, and the renewal's
// check then fails.
func (k *Keeper) renew(ctx context.Context) error {
	k.mutex.Lock()
	version, until := k.version, k.until
	k.mutex.Unlock()
	sentAt := k.Clock.Now()
	validFor := k.Lease - k.Lease/marginDivisor
	if version != 0 && until.Sub(sentAt) > validFor-k.Lease/renewDivisor {
		return nil
	}
	token := k.NewToken()
	data, err := encode(holderRow{Daemon: k.Self, Token: token})
	if err != nil {
		return err
	}
	key := holderKey(k.DataCentre, k.Self)
	next, err := k.Table.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Key: key, Version: version}},
		Writes: []mothferry.Write{{Key: key, Value: data}},
	})
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
		return k.renewConflict(conflict.Rows[0])
	}
	if err != nil {
		return trace.Wrap(err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.version, k.until = next, sentAt.Add(validFor)
	return nil
}

// renewConflict handles a row that is not as this daemon last wrote it. The row may be an
// earlier write of this daemon whose reply was lost, or of a previous run of it; it may be
// deleted because the shards were taken over. In each case the next round continues from the
// stored row, and this renewal does not extend the lease.
func (k *Keeper) renewConflict(row mothferry.Row) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.version = row.Version
	if row.Version == 0 {
		k.held = map[mothferry.PoolID]observedShard{}
		k.until = time.Time{}
	}
	return nil
}

func (k *Keeper) read(ctx context.Context) (view, error) {
	v := view{holders: map[mothferry.DaemonID]mothferry.Row{}, shards: map[mothferry.PoolID]observedShard{}}
	holders, shards := holderPrefix(k.DataCentre), shardPrefix(k.DataCentre)
	rows, err := k.Table.Read(ctx, mothferry.Query{Prefixes: []mothferry.Key{holders, shards}})
	if err != nil {
		return v, trace.Wrap(err)
	}
	for _, r := range rows {
		if name, ok := strings.CutPrefix(string(r.Key), string(holders)); ok {
			v.holders[mothferry.DaemonID(name)] = r
			continue
		}
		row, err := decode[shardRow](r)
		if err != nil {
			return v, err
		}
		pool := mothferry.PoolID(strings.TrimPrefix(string(r.Key), string(shards)))
		v.shards[pool] = observedShard{row: row, version: r.Version}
	}
	return v, nil
}

// dropTakenOver drops the held shards whose row has changed since this daemon claimed them.
func (k *Keeper) dropTakenOver(v view) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for pool, s := range k.held {
		if v.shards[pool].version != s.version {
			delete(k.held, pool)
			k.Log.WithField("pool", pool).Warn("shard taken over by another daemon")
		}
	}
}

// claimIfFirst claims a pool's shard if it has no holder and this daemon ranks first for it,
// or if its row names this daemon although it does not hold the shard.
func (k *Keeper) claimIfFirst(ctx context.Context, v view, pool mothferry.PoolID, now time.Time) error {
	s, exists := v.shards[pool]
	if exists && s.row.Holder != k.Self && !expired(s.row.Holder, v, k.watches, now, k.Lease) {
		return nil
	}
	k.mutex.Lock()
	_, holds := k.held[pool]
	k.mutex.Unlock()
	if holds || !k.ranksFirst(pool, s.row.Holder, exists) {
		return nil
	}
	return k.claim(ctx, v, pool, s)
}

// ranksFirst reports whether this daemon ranks first for a pool among those alive. A shard whose
// row names this daemon, from before its lease expired, is always reclaimed by it.
func (k *Keeper) ranksFirst(pool mothferry.PoolID, holder mothferry.DaemonID, exists bool) bool {
	if exists && holder == k.Self {
		return true
	}
	live := slices.DeleteFunc(slices.Clone(k.Live()), func(d mothferry.DaemonID) bool { return exists && d == holder })
	ranked := mfroute.Rank("holders", live)
	ranked = ranked[:min(maxHolders, len(ranked))]
	return len(ranked) > 0 && mfroute.Rank(string(pool), ranked)[0] == k.Self
}

// claim takes over a shard with the next epoch. The transaction deletes the previous holder's
// row, so that a renewal in flight cannot restore its lease.
func (k *Keeper) claim(ctx context.Context, v view, pool mothferry.PoolID, s observedShard) error {
	shard := mothferry.Shard{DataCentre: k.DataCentre, Pool: pool}
	row := shardRow{Holder: k.Self, Epoch: s.row.Epoch + 1, Token: k.NewToken()}
	data, err := encode(row)
	if err != nil {
		return err
	}
	k.mutex.Lock()
	ownVersion, until := k.version, k.until
	k.mutex.Unlock()
	if ownVersion == 0 || !k.Clock.Now().Before(until) {
		return nil
	}
	txn := mothferry.Txn{
		Checks: []mothferry.Check{
			{Key: ShardKey(shard), Version: s.version},
			{Key: holderKey(k.DataCentre, k.Self), Version: ownVersion},
		},
		Writes: []mothferry.Write{{Key: ShardKey(shard), Value: data}},
	}
	if previous := s.row.Holder; previous != "" && previous != k.Self {
		previousRow := v.holders[previous]
		txn.Checks = append(txn.Checks, mothferry.Check{Key: holderKey(k.DataCentre, previous), Version: previousRow.Version})
		if previousRow.Version != 0 {
			txn.Writes = append(txn.Writes, mothferry.Write{Key: holderKey(k.DataCentre, previous), Delete: true})
			delete(v.holders, previous)
		}
	}
	version, err := k.Table.Commit(ctx, txn)
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		// Another daemon was faster, or the holder is alive. If the conflict is with a claim of
		// this daemon whose reply was lost, the next round finds a row that names this daemon,
		// and claims the shard again with a new epoch.
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.held == nil {
		k.held = map[mothferry.PoolID]observedShard{}
	}
	k.held[pool] = observedShard{row: row, version: version}
	k.Log.WithField("pool", pool).WithField("epoch", row.Epoch).Info("shard claimed")
	return nil
}

// resignTimeout limits the release of the lease when the daemon stops.
const resignTimeout = time.Second

// resign deletes this daemon's row, so that other daemons need not wait for its lease to expire.
func (k *Keeper) resign() {
	k.mutex.Lock()
	version := k.version
	k.until, k.held, k.version = time.Time{}, nil, 0
	k.mutex.Unlock()
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	key := holderKey(k.DataCentre, k.Self)
	_, err := k.Table.Commit(ctx, mothferry.Txn{
		Checks: []mothferry.Check{{Key: key, Version: version}},
		Writes: []mothferry.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		k.Log.WithError(err).Info("lease could not be released; it expires by itself")
	}
}
