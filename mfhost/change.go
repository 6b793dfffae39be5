package mfhost

import (
	"context"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"mothferry"
)

// ErrMoving reports that a host is already on its way to another pool.
type ErrMoving struct {
	Host   mothferry.HostID
	To     mothferry.PoolID
	Author string
}

// Error implements error.
func (e *ErrMoving) Error() string {
	return fmt.Sprintf("host %s is already moving to pool %s, as %s asked", e.Host, e.To, e.Author)
}

// maxAttempts bounds the tries of one change, which races with the holder's
// release of the host and with other operators.
const maxAttempts = 8

// Changer changes hosts as operators ask. Each change is one transaction that
// checks the host's row, and is idempotent: asked again after a lost reply it
// finds the row as it is to be and does nothing.
//
// A host has one row, and its pool is one field of it, so it never belongs to
// two pools. An operator only asks for a move; the pool changes in the
// transaction in which the old pool's holder releases the empty host.
type Changer struct {
	Table mothferry.Table
}

// Move asks for a host to be emptied and moved to another pool. Asking for the
// pool that it is in calls a move off.
func (c *Changer) Move(ctx context.Context, dc mothferry.DataCentre, host mothferry.HostID, to mothferry.PoolID, author string) (Record, error) {
	return c.change(ctx, dc, host, func(r *Record) error {
		switch {
		case r.MoveTo == to || r.MoveTo == "" && r.Pool == to:
			return nil
		case r.Pool == to:
			r.MoveTo, r.State = "", StateServing
		case r.MoveTo != "":
			return &ErrMoving{Host: host, To: r.MoveTo, Author: r.Author}
		default:
			r.MoveTo, r.State = to, StateDraining
		}
		r.Author = author
		return nil
	})
}

// Drain asks for a host to be emptied, or with undo to take runners again.
func (c *Changer) Drain(ctx context.Context, dc mothferry.DataCentre, host mothferry.HostID, undo bool, author string) (Record, error) {
	state := StateDraining
	if undo {
		state = StateServing
	}
	return c.change(ctx, dc, host, func(r *Record) error {
		if r.MoveTo != "" {
			return &ErrMoving{Host: host, To: r.MoveTo, Author: r.Author}
		}
		if r.State != state {
			r.State, r.Author = state, author
		}
		return nil
	})
}

// List returns the hosts of a data centre.
func (c *Changer) List(ctx context.Context, dc mothferry.DataCentre) ([]Record, error) {
	rows, err := c.Table.Read(ctx, mothferry.Query{Prefixes: []mothferry.Key{Prefix(dc)}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	records := []Record{}
	for _, row := range rows {
		r, err := Decode(row.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, r)
	}
	return records, nil
}

func (c *Changer) change(ctx context.Context, dc mothferry.DataCentre, host mothferry.HostID, edit func(*Record) error) (Record, error) {
	var last error
	for range maxAttempts {
		r, err := c.attempt(ctx, dc, host, edit)
		var conflict *mothferry.ErrConflict
		var unavailable *mothferry.ErrUnavailable
		if !errors.As(err, &conflict) && !errors.As(err, &unavailable) {
			return r, err
		}
		last = err
	}
	return Record{}, trace.Wrap(last)
}

func (c *Changer) attempt(ctx context.Context, dc mothferry.DataCentre, host mothferry.HostID, edit func(*Record) error) (Record, error) {
	key := Prefix(dc) + mothferry.Key(host)
	rows, err := c.Table.Read(ctx, mothferry.Query{Keys: []mothferry.Key{key}})
	if err != nil {
		return Record{}, trace.Wrap(err)
	}
	if len(rows) == 0 {
		return Record{}, trace.Wrap(&mothferry.ErrNotFound{Kind: "host", Name: string(host)})
	}
	r, err := Decode(rows[0].Value)
	if err != nil {
		return Record{}, err
	}
	before := r
	if err := edit(&r); err != nil {
		return before, trace.Wrap(err)
	}
	if r == before {
		return r, nil
	}
	txn, err := r.Txn(rows[0].Version)
	if err != nil {
		return Record{}, err
	}
	_, err = c.Table.Commit(ctx, txn)
	return r, trace.Wrap(err)
}

// Txn returns the transaction that writes a host's record over the given
// version, and tells the holders of its data centre that a host has changed.
func (r Record) Txn(version mothferry.Version) (mothferry.Txn, error) {
	data, err := r.Encode()
	if err != nil {
		return mothferry.Txn{}, err
	}
	return mothferry.Txn{
		Checks: []mothferry.Check{{Key: r.Key(), Version: version}},
		Writes: []mothferry.Write{{Key: r.Key(), Value: data}, {Key: ChangesKey(r.DataCentre)}},
	}, nil
}

// Released returns the record of a host that its pool's holder has emptied and
// gives to the pool that it moves to.
func (r Record) Released() Record {
	r.Pool, r.MoveTo, r.State = r.MoveTo, "", StateServing
	return r
}
