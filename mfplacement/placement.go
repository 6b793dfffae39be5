// Package mfplacement holds the published placement of one shard: which runners of which
// services run where, as last written by the shard's holder.
package mfplacement

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"mothferry"
)

// State is the state of a placed runner as published by its shard's holder.
type State string

// States of a placed runner.
const (
	// StateStarting means that the task is placed and does not serve yet.
	StateStarting State = "starting"
	// StateServing means that requests may be sent to the runner.
	StateServing State = "serving"
	// StateLeaving means that the runner gets no new requests and will be stopped once no
	// entry host has requests in flight there.
	StateLeaving State = "leaving"
	// StateStopping means that the worker was told to stop the task.
	StateStopping State = "stopping"
)

// Runner is one placed runner.
type Runner struct {
	Task        mothferry.TaskID      `json:"task"`
	Service     mothferry.ServiceID   `json:"service"`
	Host        mothferry.HostID      `json:"host"`
	State       State                 `json:"state"`
	Address     string                `json:"address,omitempty"`
	Resources   mothferry.Resources   `json:"resources"`
	Slots       mothferry.Slots       `json:"slots"`
	Connections mothferry.Connections `json:"connections"`
	// LeavingSince is the generation that first published the runner as leaving.
	LeavingSince mothferry.Generation `json:"leaving_since,omitempty"`
}

// Record is the placement of one shard, stored as a row of the platform's table.
type Record struct {
	DataCentre mothferry.DataCentre `json:"data_centre"`
	Pool       mothferry.PoolID     `json:"pool"`
	// Epoch is that of the lease under which the record was written.
	Epoch mothferry.Epoch `json:"epoch"`
	// Generation grows by one with each write, across epochs.
	Generation mothferry.Generation `json:"generation"`
	// Revision is that of the documents from which the record was planned.
	Revision mothferry.Revision `json:"revision"`
	Runners  []Runner           `json:"runners"`
	// Failures counts, by host, the tasks that failed there since one last started to serve.
	Failures map[mothferry.HostID]int `json:"failures,omitempty"`
}

// Shard returns the shard that the record places.
func (r Record) Shard() mothferry.Shard {
	return mothferry.Shard{DataCentre: r.DataCentre, Pool: r.Pool}
}

// Prefix returns the key prefix of all placements of a data centre.
func Prefix(dc mothferry.DataCentre) mothferry.Key {
	return mothferry.Key(fmt.Sprintf("placements/%s/", dc))
}

// Key returns the key of a shard's placement row.
func Key(s mothferry.Shard) mothferry.Key {
	return Prefix(s.DataCentre) + mothferry.Key(s.Pool)
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
		return Record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of a placement", Detail: err.Error()})
	}
	if record.DataCentre == "" || record.Pool == "" || record.Generation == 0 {
		return Record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of a placement", Detail: "shard or generation is missing"})
	}
	return record, nil
}

// GenerationPrefix returns the key prefix of the rows that hold only the generations of a data
// centre's placements, so that daemons can detect new placements without reading them whole.
func GenerationPrefix(dc mothferry.DataCentre) mothferry.Key {
	return mothferry.Key(fmt.Sprintf("generations/%s/", dc))
}

// GenerationKey returns the key of a shard's generation row.
func GenerationKey(s mothferry.Shard) mothferry.Key {
	return GenerationPrefix(s.DataCentre) + mothferry.Key(s.Pool)
}
