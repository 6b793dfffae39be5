// Package mflease gives shards of the fleet to one daemon each. A daemon
// keeps one lease for all its shards: a row of the platform's table that it
// renews. Each shard has a row that names its holder and epoch.
//
// The cases that the rows guard against:
//
//   - A holder dies: its row stops changing. Another daemon that has watched
//     the row unchanged for the whole lease takes its shards over.
//   - A holder is paused past its lease and resumes: it measures the lease on
//     its own monotonic clock from before the last renewal was sent, finds it
//     lapsed and acts no more until it has claimed anew.
//   - A renewal is under way while the shard is taken over: the takeover
//     deletes the holder's row, and the renewal's check of that row fails.
//   - A write of the old holder is under way: it checks the shard's row, which
//     the takeover has changed, and fails. Acts on workers carry the epoch.
//   - A reply is lost after the write: the row is read back, and its token
//     tells whose write it was.
//
// No clock is compared with another machine's.
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

// ShardKey returns the key of a shard's row. Its version changes only when
// the shard changes hands.
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
	// Check makes a transaction fail once the shard has changed hands.
	Check mothferry.Check
}

// view is what a read of the table showed of a data centre.
type view struct {
	holders map[mothferry.DaemonID]mothferry.Row
	shards  map[mothferry.PoolID]observedShard
}

type observedShard struct {
	row     shardRow
	version mothferry.Version
}

// rowWatch remembers since when each holder's row is unchanged.
type rowWatch struct {
	version mothferry.Version
	since   time.Time
}

// updateWatches brings the watches up to a view. A row that changed, or is seen
// first, starts anew.
func updateWatches(watches map[mothferry.DaemonID]rowWatch, v view, now time.Time) map[mothferry.DaemonID]rowWatch {
	next := map[mothferry.DaemonID]rowWatch{}
	for d, row := range v.holders {
		old, ok := watches[d]
		if !ok || old.version != row.Version {
			old = rowWatch{version: row.Version, since: now}
		}
		next[d] = old
	}
	return next
}

// expired reports whether a shard's holder has lost its lease: its row is gone,
// or has been watched unchanged for the whole lease.
func expired(holder mothferry.DaemonID, v view, watches map[mothferry.DaemonID]rowWatch, now time.Time, lease time.Duration) bool {
	if _, ok := v.holders[holder]; !ok {
		return true
	}
	return now.Sub(watches[holder].since) >= lease
}
