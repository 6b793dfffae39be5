package mfplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
)

// Client calls the platform over HTTP. It implements every interface of
// mothferry.Platform.
type Client struct {
	// URL is the platform's base address.
	URL string
	// Timeout bounds one call.
	Timeout time.Duration
	// HTTP makes the calls.
	HTTP *http.Client
}

// Platform returns the client as each of the platform's services.
func (c *Client) Platform() mothferry.Platform {
	return mothferry.Platform{Table: c, Objects: objects{c}, Hosts: c, Workers: c, Pools: c}
}

// Read implements mothferry.Table.
func (c *Client) Read(ctx context.Context, q mothferry.Query) ([]mothferry.Row, error) {
	var reply readReply
	err := c.call(ctx, http.MethodPost, pathRead, readRequest(q), &reply)
	return fromRows(reply.Rows), err
}

// Commit implements mothferry.Table.
func (c *Client) Commit(ctx context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	var request commitRequest
	for _, k := range txn.Checks {
		request.Checks = append(request.Checks, check{Key: k.Key, Version: k.Version})
	}
	for _, w := range txn.Writes {
		request.Writes = append(request.Writes, write{Key: w.Key, Value: w.Value, Delete: w.Delete, Expires: w.Expires})
	}
	var reply commitReply
	err := c.call(ctx, http.MethodPost, pathCommit, request, &reply)
	return reply.Version, err
}

// Hosts implements mothferry.HostList.
func (c *Client) Hosts(ctx context.Context, dc mothferry.DataCentre) ([]mothferry.ListedHost, error) {
	var reply []listedHost
	err := c.call(ctx, http.MethodGet, pathHosts+url.PathEscape(string(dc)), nil, &reply)
	var hosts []mothferry.ListedHost
	for _, h := range reply {
		hosts = append(hosts, mothferry.ListedHost(h))
	}
	return hosts, err
}

// Reports implements mothferry.WorkerAPI.
func (c *Client) Reports(ctx context.Context, dc mothferry.DataCentre, hosts []mothferry.HostID) ([]mothferry.WorkerReport, error) {
	var reply []workerReport
	path := pathWorkers + url.PathEscape(string(dc)) + "/reports"
	err := c.call(ctx, http.MethodPost, path, reportsRequest{Hosts: hosts}, &reply)
	var reports []mothferry.WorkerReport
	for _, r := range reply {
		report := mothferry.WorkerReport{Host: r.Host}
		for _, t := range r.Tasks {
			report.Tasks = append(report.Tasks, mothferry.TaskStatus(t))
		}
		reports = append(reports, report)
	}
	return reports, err
}

// Start implements mothferry.WorkerAPI.
func (c *Client) Start(ctx context.Context, host mothferry.HostID, f mothferry.Fence, t mothferry.TaskSpec) error {
	request := startRequest{
		Fence: toFence(f), Task: t.Task, Service: t.Service, Program: t.Program,
		Resources: t.Resources, Slots: t.Slots, Connections: t.Connections,
	}
	return c.call(ctx, http.MethodPost, hostPath(host, "start"), request, nil)
}

// Stop implements mothferry.WorkerAPI.
func (c *Client) Stop(ctx context.Context, host mothferry.HostID, f mothferry.Fence, task mothferry.TaskID) error {
	return c.call(ctx, http.MethodPost, hostPath(host, "stop"), stopRequest{Fence: toFence(f), Task: task}, nil)
}

// Drain implements mothferry.Pools.
func (c *Client) Drain(ctx context.Context, host mothferry.HostID, f mothferry.Fence) error {
	return c.call(ctx, http.MethodPost, hostPath(host, "drain"), hostRequest{Fence: toFence(f)}, nil)
}

// Reboot implements mothferry.Pools.
func (c *Client) Reboot(ctx context.Context, host mothferry.HostID, f mothferry.Fence) error {
	return c.call(ctx, http.MethodPost, hostPath(host, "reboot"), hostRequest{Fence: toFence(f)}, nil)
}

func hostPath(host mothferry.HostID, act string) string {
	return pathWorkers + url.PathEscape(string(host)) + "/" + act
}

// objects is the client as an object store.
type objects struct{ client *Client }

// Get implements mothferry.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.send(ctx, http.MethodGet, pathObjects+url.PathEscape(name), nil)
}

// Put implements mothferry.ObjectStore.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.client.send(ctx, http.MethodPut, pathObjects+url.PathEscape(name), data)
	return err
}

// call sends in as JSON and decodes the reply into out, where they are not nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		body, err = json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
	}
	data, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return trace.Wrap(&mothferry.ErrBadReply{Operation: method + " " + path, Detail: err.Error()})
	}
	return nil
}

// send makes one call and returns the body of a successful reply. Whatever
// keeps the reply from arriving whole is ErrUnavailable: the platform may
// have acted.
func (c *Client) send(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	operation := method + " " + path
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, trace.Wrap(&mothferry.ErrUnavailable{Operation: operation, Err: err})
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(maxMessageBytes)))
	if err != nil {
		return nil, trace.Wrap(&mothferry.ErrUnavailable{Operation: operation, Err: err})
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, trace.Wrap(decodeError(operation, data))
	}
	return data, nil
}
