package mfstandin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mothferry"
)

// RunnerFaults are the injected faults and settings of one runner.
type RunnerFaults struct {
	// Work is the processing time of requests that do not state their own.
	Work time.Duration `json:"work"`
	// CutAfter closes the connection of each answer after this many bytes of its body; 0 means
	// never.
	CutAfter int `json:"cut_after"`
	// DropAfterRun processes each request and then closes its connection without an answer.
	DropAfterRun bool `json:"drop_after_run"`
	// Leaving refuses new requests, like a runner that is being stopped.
	Leaving bool `json:"leaving"`
	// Dead closes the listener and all connections.
	Dead bool `json:"dead"`
}

// Run is one journal entry: a request that a runner started to process.
type Run struct {
	Request  mothferry.RequestID  `json:"request"`
	Key      string               `json:"key,omitempty"`
	Customer mothferry.CustomerID `json:"customer,omitempty"`
	Service  mothferry.ServiceID  `json:"service"`
	Runner   mothferry.TaskID     `json:"runner"`
	Method   string               `json:"method"`
	Path     string               `json:"path"`
	Time     time.Time            `json:"time"`
}

// RunnerStatus is a runner's state and counts.
type RunnerStatus struct {
	Runner         mothferry.TaskID    `json:"runner"`
	Service        mothferry.ServiceID `json:"service"`
	Address        string              `json:"address"`
	InFlight       int                 `json:"in_flight"`
	Ran            int                 `json:"ran"`
	Refused        int                 `json:"refused"`
	MaxInFlight    int                 `json:"most_in_flight"`
	Connections    int                 `json:"connections"`
	MaxConnections int                 `json:"most_connections"`
	Faults         RunnerFaults        `json:"faults"`
}

// answer is a runner's response: the request as the runner received it.
type answer struct {
	Request  mothferry.RequestID  `json:"request"`
	Customer mothferry.CustomerID `json:"customer"`
	Service  mothferry.ServiceID  `json:"service"`
	Runner   mothferry.TaskID     `json:"runner"`
	Method   string               `json:"method"`
	Path     string               `json:"path"`
	Query    string               `json:"query,omitempty"`
	BodySize int                  `json:"body_size"`
	BodyHash string               `json:"body_hash"`
	Padding  string               `json:"padding,omitempty"`
}

// A request states its own processing time and answer size in these query parameters.
const (
	paramWork = "work"
	paramSize = "size"
)

// maxPadding is the largest padding, in bytes, that a request may ask for.
const maxPadding = 16 << 20

// Runner is an in-process upstream runner.
type Runner struct {
	Task        mothferry.TaskID
	Service     mothferry.ServiceID
	Slots       mothferry.Slots
	Connections mothferry.Connections
	// Journal records the runs; it outlives the runner.
	Journal *Journal
	// Listener accepts the runner's connections.
	Listener net.Listener

	server *http.Server
	done   chan struct{}
	mutex  sync.Mutex
	status RunnerStatus
}

// Journal records the runs of many runners.
type Journal struct {
	mutex sync.Mutex
	runs  []Run
}

// Add appends a run.
func (j *Journal) Add(r Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.runs = append(j.runs, r)
}

// Runs returns a copy of all runs so far.
func (j *Journal) Runs() []Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Run{}, j.runs...)
}

// Start serves requests in the background.
func (r *Runner) Start() {
	r.done = make(chan struct{})
	r.status = RunnerStatus{Runner: r.Task, Service: r.Service, Address: r.Listener.Addr().String()}
	r.server = &http.Server{
		Handler:           http.HandlerFunc(r.serve),
		ConnState:         r.countConnection,
		ReadHeaderTimeout: time.Minute,
	}
	go func() {
		defer close(r.done)
		_ = r.server.Serve(r.Listener)
	}()
}

// Status returns the runner's state and counts.
func (r *Runner) Status() RunnerStatus {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.status
}

// SetFaults sets the injected faults.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mutex.Lock()
	r.status.Faults = f
	r.mutex.Unlock()
	if f.Dead {
		_ = r.server.Close()
	}
}

// Stop refuses new requests, waits for those in flight and closes the runner.
func (r *Runner) Stop(ctx context.Context) {
	r.mutex.Lock()
	r.status.Faults.Leaving = true
	r.mutex.Unlock()
	_ = r.server.Shutdown(ctx)
	<-r.done
}

// countConnection enforces the limit of connections: one beyond it is closed before any byte
// of it is read.
func (r *Runner) countConnection(c net.Conn, state http.ConnState) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch state {
	case http.StateNew:
		r.status.Connections++
		r.status.MaxConnections = max(r.status.MaxConnections, r.status.Connections)
		if r.status.Connections > int(r.Connections) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		r.status.Connections--
	default:
	}
}

func (r *Runner) serve(w http.ResponseWriter, q *http.Request) {
	// The body is read before the request counts as run: a request that did not arrive whole
	// is not processed.
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	faults, refusal := r.acquireSlot(mothferry.TaskID(q.Header.Get(mothferry.HeaderRunner)))
	if refusal != "" {
		w.Header().Set(mothferry.HeaderRefused, string(refusal))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.releaseSlot()
	request := mothferry.RequestID(q.Header.Get(mothferry.HeaderRequestID))
	customer := mothferry.CustomerID(q.Header.Get(mothferry.HeaderCustomer))
	r.Journal.Add(Run{
		Request: request, Key: q.Header.Get(mothferry.HeaderKey), Customer: customer,
		Service: r.Service, Runner: r.Task, Method: q.Method, Path: q.URL.Path, Time: time.Now(),
	})
	time.Sleep(workTime(q, faults))
	if faults.DropAfterRun {
		panic(http.ErrAbortHandler)
	}
	sum := sha256.Sum256(body)
	data, _ := json.Marshal(answer{
		Request: request, Customer: customer, Service: r.Service, Runner: r.Task,
		Method: q.Method, Path: q.URL.Path, Query: q.URL.RawQuery,
		BodySize: len(body), BodyHash: hex.EncodeToString(sum[:]), Padding: answerPadding(q),
	})
	r.send(w, data, faults)
}

func (r *Runner) send(w http.ResponseWriter, data []byte, faults RunnerFaults) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if r.Status().Faults.Leaving {
		w.Header().Set(mothferry.HeaderLeaving, "true")
	}
	if faults.CutAfter > 0 && faults.CutAfter < len(data) {
		_, _ = w.Write(data[:faults.CutAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// acquireSlot takes a slot for a request that is meant for a runner, or returns why the
// request is refused.
func (r *Runner) acquireSlot(intended mothferry.TaskID) (RunnerFaults, mothferry.Refusal) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case intended != "" && intended != r.Task:
		r.status.Refused++
		return r.status.Faults, mothferry.RefusalOtherRunner
	case r.status.Faults.Leaving:
		r.status.Refused++
		return r.status.Faults, mothferry.RefusalLeaving
	case r.status.InFlight >= int(r.Slots):
		r.status.Refused++
		return r.status.Faults, mothferry.RefusalBusy
	}
	r.status.InFlight++
	r.status.Ran++
	r.status.MaxInFlight = max(r.status.MaxInFlight, r.status.InFlight)
	return r.status.Faults, ""
}

func (r *Runner) releaseSlot() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.status.InFlight--
}

func workTime(q *http.Request, faults RunnerFaults) time.Duration {
	if d, err := time.ParseDuration(q.URL.Query().Get(paramWork)); err == nil {
		return d
	}
	return faults.Work
}

func answerPadding(q *http.Request) string {
	size, err := strconv.Atoi(q.URL.Query().Get(paramSize))
	if err != nil || size <= 0 {
		return ""
	}
	data := make([]byte, min(size, maxPadding))
	for i := range data {
		data[i] = 'x'
	}
	return string(data)
}
