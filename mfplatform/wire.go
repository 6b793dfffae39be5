// Package mfplatform speaks the platform's HTTP and JSON interface: Client
// implements the root package's interfaces over it, and Handler serves any
// implementation of them, which is how stand-ins take the platform's place.
package mfplatform

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
)

// maxMessageBytes bounds one JSON message in either direction.
const maxMessageBytes = 64 * mothferry.Mebibyte

// Paths of the interface.
const (
	pathRead    = "/table/read"
	pathCommit  = "/table/commit"
	pathObjects = "/objects/"
	pathHosts   = "/hosts/"
	pathWorkers = "/workers/"
)

type row struct {
	Key     mothferry.Key     `json:"key"`
	Value   []byte            `json:"value,omitempty"`
	Version mothferry.Version `json:"version"`
	Expires time.Time         `json:"expires,omitzero"`
}

type readRequest struct {
	Keys     []mothferry.Key `json:"keys,omitempty"`
	Prefixes []mothferry.Key `json:"prefixes,omitempty"`
}

type readReply struct {
	Rows []row `json:"rows"`
}

type check struct {
	Key     mothferry.Key     `json:"key"`
	Version mothferry.Version `json:"version"`
}

type write struct {
	Key     mothferry.Key `json:"key"`
	Value   []byte        `json:"value,omitempty"`
	Delete  bool          `json:"delete,omitempty"`
	Expires time.Time     `json:"expires,omitzero"`
}

type commitRequest struct {
	Checks []check `json:"checks,omitempty"`
	Writes []write `json:"writes,omitempty"`
}

type commitReply struct {
	Version mothferry.Version `json:"version"`
}

type listedHost struct {
	Host  mothferry.HostID    `json:"host"`
	State mothferry.HostState `json:"state"`
}

type taskStatus struct {
	Task    mothferry.TaskID    `json:"task"`
	Service mothferry.ServiceID `json:"service"`
	State   mothferry.TaskState `json:"state"`
	Address string              `json:"address,omitempty"`
	Used    mothferry.Resources `json:"used"`
}

type workerReport struct {
	Host  mothferry.HostID `json:"host"`
	Tasks []taskStatus     `json:"tasks"`
}

type reportsRequest struct {
	Hosts []mothferry.HostID `json:"hosts"`
}

type fence struct {
	DataCentre mothferry.DataCentre `json:"data_centre"`
	Pool       mothferry.PoolID     `json:"pool"`
	Epoch      mothferry.Epoch      `json:"epoch"`
}

type startRequest struct {
	Fence       fence                 `json:"fence"`
	Task        mothferry.TaskID      `json:"task"`
	Service     mothferry.ServiceID   `json:"service"`
	Program     string                `json:"program"`
	Resources   mothferry.Resources   `json:"resources"`
	Slots       mothferry.Slots       `json:"slots"`
	Connections mothferry.Connections `json:"connections"`
}

type stopRequest struct {
	Fence fence            `json:"fence"`
	Task  mothferry.TaskID `json:"task"`
}

type hostRequest struct {
	Fence fence `json:"fence"`
}

// Kinds of error on the wire.
const (
	kindConflict    = "conflict"
	kindNotFound    = "not_found"
	kindFenced      = "fenced"
	kindBadRequest  = "bad_request"
	kindUnavailable = "unavailable"
)

type errorReply struct {
	Kind   string          `json:"kind"`
	Detail string          `json:"detail,omitempty"`
	Thing  string          `json:"thing,omitempty"`
	Name   string          `json:"name,omitempty"`
	Rows   []row           `json:"rows,omitempty"`
	Fence  fence           `json:"fence,omitzero"`
	Latest mothferry.Epoch `json:"latest,omitempty"`
}

func toFence(f mothferry.Fence) fence {
	return fence{DataCentre: f.Shard.DataCentre, Pool: f.Shard.Pool, Epoch: f.Epoch}
}

func (f fence) toRoot() mothferry.Fence {
	return mothferry.Fence{Shard: mothferry.Shard{DataCentre: f.DataCentre, Pool: f.Pool}, Epoch: f.Epoch}
}

func toRows(rows []mothferry.Row) []row {
	var out []row
	for _, r := range rows {
		out = append(out, row{Key: r.Key, Value: r.Value, Version: r.Version, Expires: r.Expires})
	}
	return out
}

func fromRows(rows []row) []mothferry.Row {
	var out []mothferry.Row
	for _, r := range rows {
		out = append(out, mothferry.Row{Key: r.Key, Value: r.Value, Version: r.Version, Expires: r.Expires})
	}
	return out
}

// encodeError turns an error of an implementation into its status and wire form.
func encodeError(err error) (int, errorReply) {
	var conflict *mothferry.ErrConflict
	var missing *mothferry.ErrNotFound
	var fenced *mothferry.ErrFenced
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, errorReply{Kind: kindConflict, Rows: toRows(conflict.Rows)}
	case errors.As(err, &missing):
		return http.StatusNotFound, errorReply{Kind: kindNotFound, Thing: missing.Kind, Name: missing.Name}
	case errors.As(err, &fenced):
		return http.StatusPreconditionFailed, errorReply{Kind: kindFenced, Fence: toFence(fenced.Fence), Latest: fenced.Latest}
	case trace.IsBadParameter(err):
		return http.StatusBadRequest, errorReply{Kind: kindBadRequest, Detail: err.Error()}
	default:
		return http.StatusServiceUnavailable, errorReply{Kind: kindUnavailable, Detail: err.Error()}
	}
}

// decodeError turns the body of a failed call back into a typed error.
func decodeError(operation string, data []byte) error {
	var reply errorReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return &mothferry.ErrBadReply{Operation: operation, Detail: err.Error()}
	}
	switch reply.Kind {
	case kindConflict:
		return &mothferry.ErrConflict{Rows: fromRows(reply.Rows)}
	case kindNotFound:
		return &mothferry.ErrNotFound{Kind: reply.Thing, Name: reply.Name}
	case kindFenced:
		return &mothferry.ErrFenced{Fence: reply.Fence.toRoot(), Latest: reply.Latest}
	case kindBadRequest:
		return trace.BadParameter("%s: %s", operation, reply.Detail)
	case kindUnavailable:
		return &mothferry.ErrUnavailable{Operation: operation, Err: errors.New(reply.Detail)}
	default:
		return &mothferry.ErrBadReply{Operation: operation, Detail: "kind of error is " + reply.Kind}
	}
}
