package mfstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfhost"
	"mothferry/mfplatform"
)

// Faults are the injected faults of the platform.
type Faults struct {
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// Down fails every call without an answer.
	Down bool `json:"down"`
	// LoseReplies is the number of following commits that take effect without a reply.
	LoseReplies int `json:"lose_replies"`
	// ListLag is how long the host list shows an old state.
	ListLag time.Duration `json:"list_lag"`
	// AbruptStop makes workers kill a task instead of stopping it.
	AbruptStop bool `json:"abrupt_stop"`
}

// Server is an in-memory platform with injected faults.
type Server struct {
	Table   *Table
	Objects *Objects
	Workers *Workers

	mutex  sync.Mutex
	faults Faults
}

// Fleet describes the generated workers.
type Fleet struct {
	DataCentres []mothferry.DataCentre
	Pools       []mothferry.PoolID
	// HostsPerPool is the number of hosts of each pool in each data centre.
	HostsPerPool int
	HostsPerRack int
	Capacity     mothferry.Resources
}

// New returns a platform with the fleet's hosts and their rows.
func New(clock mothferry.Clock, fleet Fleet) (*Server, error) {
	s := &Server{
		Table:   &Table{Clock: clock},
		Objects: &Objects{},
		Workers: &Workers{Clock: clock, Address: "127.0.0.1"},
	}
	var txn mothferry.Txn
	for _, r := range fleet.Records() {
		s.Workers.AddHost(r)
		data, err := r.Encode()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		txn.Writes = append(txn.Writes, mothferry.Write{Key: r.Key(), Value: data})
	}
	_, err := s.Table.Commit(context.Background(), txn)
	return s, trace.Wrap(err)
}

// Records returns the rows of the fleet's hosts.
func (f Fleet) Records() []mfhost.Record {
	var records []mfhost.Record
	for _, dc := range f.DataCentres {
		for _, p := range f.Pools {
			for i := range f.HostsPerPool {
				records = append(records, mfhost.Record{
					Host:       mothferry.HostID(fmt.Sprintf("%s-%s-%03d", dc, p, i)),
					DataCentre: dc,
					Rack:       mothferry.RackID(fmt.Sprintf("%s-%s-r%02d", dc, p, i/f.HostsPerRack)),
					Pool:       p,
					State:      mfhost.StateServing,
					Capacity:   f.Capacity,
				})
			}
		}
	}
	return records
}

// SetFaults sets the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mutex.Lock()
	s.faults = f
	s.mutex.Unlock()
	s.Workers.Configure(f.ListLag, f.AbruptStop)
}

// Handler serves the platform's interface and, under /standin/, the calls that set faults and
// read counts.
func (s *Server) Handler() http.Handler {
	platform := mfplatform.Handler(mothferry.Platform{
		Table: s.Table, Objects: s.Objects, Hosts: s.Workers, Workers: s.Workers, Pools: s.Workers,
	})
	mux := http.NewServeMux()
	mux.Handle("/", s.injectFaults(platform))
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		applyJSON(w, r, func(f Faults) error { s.SetFaults(f); return nil })
	})
	mux.HandleFunc("PUT /standin/runners/{task}", func(w http.ResponseWriter, r *http.Request) {
		applyJSON(w, r, func(f RunnerFaults) error {
			runner, err := s.Workers.Runner(mothferry.TaskID(r.PathValue("task")))
			if err == nil {
				runner.SetFaults(f)
			}
			return err
		})
	})
	mux.HandleFunc("PUT /standin/workers/{host}", func(w http.ResponseWriter, r *http.Request) {
		applyJSON(w, r, func(f WorkerFaults) error {
			return s.Workers.SetFaults(mothferry.HostID(r.PathValue("host")), f)
		})
	})
	mux.HandleFunc("GET /standin/runners", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Workers.Runners()) })
	mux.HandleFunc("GET /standin/journal", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Workers.Journal.Runs()) })
	mux.HandleFunc("GET /standin/load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Table.Load()) })
	return mux
}

// injectFaults applies the injected faults to calls of the platform's interface.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		f := s.faults
		loseReply := f.LoseReplies > 0 && r.URL.Path == "/table/commit"
		if loseReply {
			s.faults.LoseReplies--
		}
		s.mutex.Unlock()
		time.Sleep(f.Delay)
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if loseReply {
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discard is a response writer that discards everything.
type discard struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discard) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d discard) WriteHeader(int) {}

func applyJSON[T any](w http.ResponseWriter, r *http.Request, set func(T) error) {
	var value T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	if err == nil {
		err = set(value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
