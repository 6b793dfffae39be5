package mfrelay

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffeed"
	"mothferry/mfrecord"
)

const (
	// directoryPollWait is how long the store may hold a long poll for changes,
	// directoryMinInterval the minimum interval between two: hosts rarely change.
	directoryPollWait    = 900 * time.Millisecond
	directoryMinInterval = 500 * time.Millisecond
	// publishRetryDelay is the delay, before jitter, until a host's row that could not be
	// written is written again.
	publishRetryDelay = 700 * time.Millisecond
)

// Directory is the table of hosts that could be relays. The exported fields are set
// before use.
type Directory struct {
	Store  mothferry.RowStore
	Clock  mothferry.Clock
	Random mothferry.Random
	Log    *log.Entry
}

// Publish stores what the other hosts have to know of this one. It retries until that succeeds
// or ctx ends: writing a row twice is harmless.
func (d *Directory) Publish(ctx context.Context, h mfrecord.Host) error {
	value, err := h.Encode()
	if err != nil {
		return err
	}
	txn := mothferry.Txn{Writes: []mothferry.Write{{Table: mfrecord.TableHosts, Key: mothferry.Key(h.Daemon), Value: value}}}
	for {
		if _, err = d.Store.Commit(ctx, txn); err == nil {
			return nil
		}
		d.Log.WithError(err).Warn("publish host row failed, retrying")
		if !mfclock.Sleep(ctx, d.Clock, publishRetryDelay+time.Duration(d.Random.Float64()*float64(publishRetryDelay))) {
			return ctx.Err()
		}
	}
}

// Follow calls apply with all hosts whenever one was added, changed or removed, until ctx ends.
func (d *Directory) Follow(ctx context.Context, apply func([]mfrecord.Host)) error {
	known := map[mothferry.Key]mfrecord.Host{}
	f := &mffeed.Follower{
		Store: d.Store, Clock: d.Clock, Random: d.Random, Log: d.Log,
		Table: mfrecord.TableHosts, Wait: directoryPollWait, MinInterval: directoryMinInterval,
		Apply: func(rows []mothferry.Row, whole bool) {
			if whole {
				clear(known)
			}
			d.merge(known, rows)
			var hosts []mfrecord.Host
			for _, h := range known {
				hosts = append(hosts, h)
			}
			apply(hosts)
		},
	}
	return f.Run(ctx)
}

func (d *Directory) merge(known map[mothferry.Key]mfrecord.Host, rows []mothferry.Row) {
	for _, r := range rows {
		if r.Deleted {
			delete(known, r.Key)
			continue
		}
		h, err := mfrecord.DecodeHost(r.Key, r.Value)
		if err != nil {
			d.Log.WithError(err).WithField("row", r.Key).Error("decode host row failed")
			delete(known, r.Key)
			continue
		}
		known[r.Key] = h
	}
}

// hostPageSize is how many hosts are read per page.
const hostPageSize = 500

// Read returns all hosts that have published themselves.
func (d *Directory) Read(ctx context.Context) ([]mfrecord.Host, error) {
	known := map[mothferry.Key]mfrecord.Host{}
	q := mothferry.RowRange{Table: mfrecord.TableHosts, Limit: hostPageSize}
	for {
		page, err := d.Store.Range(ctx, q)
		if err != nil {
			return nil, err
		}
		d.merge(known, page.Rows)
		if page.More && len(page.Rows) > 0 {
			q.From = mothferry.NextPage(q.From, page.Rows[len(page.Rows)-1].Key)
		} else {
			q.From = ""
		}
		if q.From == "" {
			return slices.Collect(maps.Values(known)), nil
		}
	}
}
