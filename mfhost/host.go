// Package mfhost holds the record of a host: the row of the platform's table
// that assigns the host to one pool.
package mfhost

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"mothferry"
)

// State is a host's state in its pool.
type State string

// States of a host.
const (
	// StateServing means that runners may be placed on the host.
	StateServing State = "serving"
	// StateDraining means that its runners are being relocated.
	StateDraining State = "draining"
)

// Record is the table row of one host.
type Record struct {
	Host       mothferry.HostID     `json:"host"`
	DataCentre mothferry.DataCentre `json:"data_centre"`
	Rack       mothferry.RackID     `json:"rack"`
	Pool       mothferry.PoolID     `json:"pool"`
	State      State                `json:"state"`
	Capacity   mothferry.Resources  `json:"capacity"`
	// MoveTo is the pool that the host moves to once it is drained; empty if none.
	MoveTo mothferry.PoolID `json:"move_to,omitempty"`
	// Author is who last requested a change of the host.
	Author string `json:"author,omitempty"`
}

// Prefix returns the key prefix of all hosts of a data centre.
func Prefix(dc mothferry.DataCentre) mothferry.Key {
	return mothferry.Key(fmt.Sprintf("hosts/%s/", dc))
}

// ChangesKey returns the key of a data centre's row that is written with every
// change of a host's row there, so that holders see from one small row whether
// any host has changed.
func ChangesKey(dc mothferry.DataCentre) mothferry.Key {
	return mothferry.Key(fmt.Sprintf("host-changes/%s", dc))
}

// Key returns the key of the host's row.
func (r Record) Key() mothferry.Key {
	return Prefix(r.DataCentre) + mothferry.Key(r.Host)
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// Decode reads the stored form of a record.
func Decode(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of a host", Detail: err.Error()})
	}
	if record.Host == "" || record.Pool == "" {
		return Record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of a host", Detail: "host or pool is missing"})
	}
	return record, nil
}
