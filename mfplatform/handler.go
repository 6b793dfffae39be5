package mfplatform

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"mothferry"
)

// Handler serves p over the platform's HTTP interface.
func Handler(p mothferry.Platform) http.Handler {
	s := &server{platform: p}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathRead, s.read)
	mux.HandleFunc("POST "+pathCommit, s.commit)
	mux.HandleFunc("GET "+pathObjects+"{name}", s.getObject)
	mux.HandleFunc("PUT "+pathObjects+"{name}", s.putObject)
	mux.HandleFunc("GET "+pathHosts+"{dc}", s.listHosts)
	mux.HandleFunc("POST "+pathWorkers+"{dc}/reports", s.reports)
	mux.HandleFunc("POST "+pathWorkers+"{host}/start", s.start)
	mux.HandleFunc("POST "+pathWorkers+"{host}/stop", s.stop)
	mux.HandleFunc("POST "+pathWorkers+"{host}/drain", s.drain)
	mux.HandleFunc("POST "+pathWorkers+"{host}/reboot", s.reboot)
	return mux
}

type server struct {
	platform mothferry.Platform
}

func (s *server) read(w http.ResponseWriter, r *http.Request) {
	var request readRequest
	if !decode(w, r, &request) {
		return
	}
	rows, err := s.platform.Table.Read(r.Context(), mothferry.Query(request))
	reply(w, readReply{Rows: toRows(rows)}, err)
}

func (s *server) commit(w http.ResponseWriter, r *http.Request) {
	var request commitRequest
	if !decode(w, r, &request) {
		return
	}
	var txn mothferry.Txn
	for _, k := range request.Checks {
		txn.Checks = append(txn.Checks, mothferry.Check{Key: k.Key, Version: k.Version})
	}
	for _, k := range request.Writes {
		txn.Writes = append(txn.Writes, mothferry.Write{Key: k.Key, Value: k.Value, Delete: k.Delete, Expires: k.Expires})
	}
	version, err := s.platform.Table.Commit(r.Context(), txn)
	reply(w, commitReply{Version: version}, err)
}

func (s *server) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := s.platform.Objects.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		reply(w, nil, err)
		return
	}
	_, _ = w.Write(data)
}

func (s *server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(maxMessageBytes)))
	if err == nil {
		err = s.platform.Objects.Put(r.Context(), r.PathValue("name"), data)
	}
	reply(w, struct{}{}, err)
}

func (s *server) listHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.platform.Hosts.Hosts(r.Context(), mothferry.DataCentre(r.PathValue("dc")))
	out := []listedHost{}
	for _, h := range hosts {
		out = append(out, listedHost(h))
	}
	reply(w, out, err)
}

func (s *server) reports(w http.ResponseWriter, r *http.Request) {
	var q reportsRequest
	if !decode(w, r, &q) {
		return
	}
	reports, err := s.platform.Workers.Reports(r.Context(), mothferry.DataCentre(r.PathValue("dc")), q.Hosts)
	out := []workerReport{}
	for _, k := range reports {
		report := workerReport{Host: k.Host}
		for _, t := range k.Tasks {
			report.Tasks = append(report.Tasks, taskStatus(t))
		}
		out = append(out, report)
	}
	reply(w, out, err)
}

func (s *server) start(w http.ResponseWriter, r *http.Request) {
	var q startRequest
	if !decode(w, r, &q) {
		return
	}
	spec := mothferry.TaskSpec{
		Task: q.Task, Service: q.Service, Program: q.Program,
		Resources: q.Resources, Slots: q.Slots, Connections: q.Connections,
	}
	reply(w, struct{}{}, s.platform.Workers.Start(r.Context(), host(r), q.Fence.toRoot(), spec))
}

func (s *server) stop(w http.ResponseWriter, r *http.Request) {
	var q stopRequest
	if decode(w, r, &q) {
		reply(w, struct{}{}, s.platform.Workers.Stop(r.Context(), host(r), q.Fence.toRoot(), q.Task))
	}
}

func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	var q hostRequest
	if decode(w, r, &q) {
		reply(w, struct{}{}, s.platform.Pools.Drain(r.Context(), host(r), q.Fence.toRoot()))
	}
}

func (s *server) reboot(w http.ResponseWriter, r *http.Request) {
	var q hostRequest
	if decode(w, r, &q) {
		reply(w, struct{}{}, s.platform.Pools.Reboot(r.Context(), host(r), q.Fence.toRoot()))
	}
}

func host(r *http.Request) mothferry.HostID {
	return mothferry.HostID(r.PathValue("host"))
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, int64(maxMessageBytes)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		reply(w, nil, trace.BadParameter("%v", err))
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any, err error) {
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		status, wire := encodeError(err)
		w.WriteHeader(status)
		value = wire
	}
	_ = json.NewEncoder(w).Encode(value)
}
