// Package mflease assigns each shard of the fleet to one daemon. A daemon has one lease for all
// its shards: a row of the platform's table that it renews. Each shard has a row that names its
// holder and epoch.
//
// The rows cover these cases:
//
//   - A holder dies: its row stops changing. Another daemon that has seen the row unchanged for
//     the whole lease takes over its shards.
//   - A holder is paused past its lease and resumes: it measures the lease on its own monotonic
//     clock from before the last renewal was sent, finds it expired, and does not act until it
//     has renewed the lease or claimed the shard again.
//   - A renewal is in flight while the shard is taken over: the takeover deletes the holder's
//     row, and the renewal's check of that row fails.
//   - A write of the previous holder is in flight: it checks the shard's row, which the takeover
//     has changed, and fails. Orders to workers carry the epoch.
//   - A reply is lost after the write: the next round continues from the stored row, and claims a
//     shard whose row names this daemon again, with the next epoch.
//
// Clocks of different machines are never compared.
package mflease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
)

// holderRow is a daemon's lease.
type holderRow struct {
	Daemon mothferry.DaemonID `json:"daemon"`
	// Token changes with each renewal.
	Token mothferry.Token `json:"token"`
}

// shardRow names a shard's holder.
type shardRow struct {
	Holder mothferry.DaemonID `json:"holder"`
	Epoch  mothferry.Epoch    `json:"epoch"`
	Token  mothferry.Token    `json:"token"`
}

func holderPrefix(dc mothferry.DataCentre) mothferry.Key {
	return mothferry.Key(fmt.Sprintf("holders/%s/", dc))
}

func holderKey(dc mothferry.DataCentre, d mothferry.DaemonID) mothferry.Key {
	return holderPrefix(dc) + mothferry.Key(d)
}

func shardPrefix(dc mothferry.DataCentre) mothferry.Key {
	return mothferry.Key(fmt.Sprintf("shards/%s/", dc))
}

// ShardKey returns the key of a shard's row. The version of the row changes only when the
// shard's holder or epoch changes.
func ShardKey(s mothferry.Shard) mothferry.Key {
	return shardPrefix(s.DataCentre) + mothferry.Key(s.Pool)
}

func decode[T any](row mothferry.Row) (T, error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of " + string(row.Key), Detail: err.Error()})
	}
	return value, nil
}

func encode(value any) ([]byte, error) {
	data, err := json.Marshal(value)
	return data, trace.Wrap(err)
}

// Holding is the right to act for one shard.
type Holding struct {
	Fence mothferry.Fence
	// Check makes a transaction fail once the shard has been claimed again.
	Check mothferry.Check
}

// view is the result of a read of a data centre's rows.
type view struct {
	holders map[mothferry.DaemonID]mothferry.Row
	shards  map[mothferry.PoolID]observedShard
}

type observedShard struct {
	row     shardRow
	version mothferry.Version
}

// rowWatch records since when a holder's row is unchanged.
type rowWatch struct {
	version mothferry.Version
	since   time.Time
}

// updateWatches returns the watches as of a view. The time of a row that has changed, or is
// seen for the first time, starts again.
func updateWatches(watches map[mothferry.DaemonID]rowWatch, v view, now time.Time) map[mothferry.DaemonID]rowWatch {
	next := map[mothferry.DaemonID]rowWatch{}
	for d, row := range v.holders {
		w, ok := watches[d]
		if !ok || w.version != row.Version {
			w = rowWatch{version: row.Version, since: now}
		}
		next[d] = w
	}
	return next
}

// expired reports whether the lease of a shard's holder has expired: its row is deleted, or
// has been seen unchanged for the whole lease.
func expired(holder mothferry.DaemonID, v view, watches map[mothferry.DaemonID]rowWatch, now time.Time, lease time.Duration) bool {
	if _, ok := v.holders[holder]; !ok {
		return true
	}
	return now.Sub(watches[holder].since) >= lease
}
