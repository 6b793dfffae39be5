// Package mfoperate serves operators over HTTP: documents, status, health and metrics.
package mfoperate

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfchange"
	"mothferry/mfdocument"
	"mothferry/mffollow"
	"mothferry/mfhost"
	"mothferry/mflease"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfsnapshot"
	"mothferry/mfyaml"
)

// maxDocument bounds the text of one document, in bytes.
const maxDocument = 256 << 10

// Query parameters of a change.
const (
	paramBase   = "base"
	paramAuthor = "author"
	paramToken  = "token"
)

// headerRevision carries a document's revision beside its text.
const headerRevision = "Mothferry-Revision"

// Leases tells which shards this daemon holds.
type Leases interface {
	Holdings() []mflease.Holding
}

// Handler is the operators' HTTP handler of one daemon.
type Handler struct {
	Daemon     mothferry.DaemonID
	DataCentre mothferry.DataCentre
	Store      *mfsnapshot.Store
	Accepter   *mfchange.Accepter
	Follower   *mffollow.Follower
	Mesh       *mfpeer.Mesh
	Leases     Leases
	Hosts      *mfhost.Changer
	Clock      mothferry.Clock
	// PeerTimeout is how long ago a peer may have been heard to count as live.
	PeerTimeout time.Duration
	// Ready tells whether callers should be sent here.
	Ready   func() bool
	Metrics http.Handler
	Log     *log.Entry
}

// Mux returns the routes of the operators' interface.
func (h *Handler) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.Metrics)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", h.readiness)
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("GET /v1/documents", h.listDocuments)
	mux.HandleFunc("GET /v1/documents/{service}", h.getDocument)
	mux.HandleFunc("PUT /v1/documents/{service}", h.putDocument)
	mux.HandleFunc("GET /v1/placements", h.placements)
	mux.HandleFunc("GET /v1/hosts", h.listHosts)
	mux.HandleFunc("POST /v1/hosts/{host}/move", h.moveHost)
	mux.HandleFunc("POST /v1/hosts/{host}/drain", h.drainHost)
	return mux
}

func (h *Handler) readiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Status is what one daemon knows of itself and its peers.
type Status struct {
	Daemon     mothferry.DaemonID   `json:"daemon"`
	DataCentre mothferry.DataCentre `json:"data_centre"`
	Ready      bool                 `json:"ready"`
	Revision   mothferry.Revision   `json:"revision"`
	// Source says where the documents in force came from.
	Source mffollow.Source `json:"source"`
	// PlatformReached is when the platform's table last replied.
	PlatformReached time.Time       `json:"platform_reached,omitzero"`
	Shards          []ShardStatus   `json:"shards"`
	Peers           []PeerStatus    `json:"peers"`
	Services        []ServiceStatus `json:"services"`
}

// ShardStatus is a shard that the daemon holds.
type ShardStatus struct {
	Pool  mothferry.PoolID `json:"pool"`
	Epoch mothferry.Epoch  `json:"epoch"`
}

// PeerStatus is what the daemon last heard of a peer.
type PeerStatus struct {
	Daemon     mothferry.DaemonID   `json:"daemon"`
	DataCentre mothferry.DataCentre `json:"data_centre"`
	Live       bool                 `json:"live"`
	Stopping   bool                 `json:"stopping"`
	Revision   mothferry.Revision   `json:"revision"`
	HeardAgoMs int64                `json:"heard_ago_ms"`
}

// ServiceStatus is one service in the daemon's data centre.
type ServiceStatus struct {
	Service  mothferry.ServiceID `json:"service"`
	Revision mothferry.Revision  `json:"revision"`
	// Wanted and Serving count runners in this data centre.
	Wanted  int `json:"wanted"`
	Serving int `json:"serving"`
	Placed  int `json:"placed"`
}

// InForce returns how many of all daemons have a revision in force, and which do not.
func (s Status) InForce(revision mothferry.Revision) (count, all int, lagging []mothferry.DaemonID) {
	all = 1 + len(s.Peers)
	if s.Revision >= revision {
		count++
	} else {
		lagging = append(lagging, s.Daemon)
	}
	for _, p := range s.Peers {
		if p.Live && p.Revision >= revision {
			count++
		} else {
			lagging = append(lagging, p.Daemon)
		}
	}
	return count, all, lagging
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	current := h.Store.Current()
	source, reached := h.Follower.Source()
	s := Status{
		Daemon: h.Daemon, DataCentre: h.DataCentre, Ready: h.Ready(), Revision: current.Revision,
		Source: source, PlatformReached: reached, Peers: h.peers(), Services: h.services(current),
		Shards: []ShardStatus{},
	}
	for _, k := range h.Leases.Holdings() {
		s.Shards = append(s.Shards, ShardStatus{Pool: k.Fence.Shard.Pool, Epoch: k.Fence.Epoch})
	}
	writeJSON(w, http.StatusOK, s)
}

func (h *Handler) peers() []PeerStatus {
	peers := []PeerStatus{}
	now := h.Clock.Now()
	for _, s := range h.Mesh.States() {
		p := PeerStatus{Daemon: s.Peer.Daemon, DataCentre: s.Peer.DataCentre, HeardAgoMs: -1, Revision: s.Status.Revision, Stopping: s.Status.Stopping}
		if !s.LastHeard.IsZero() {
			p.HeardAgoMs = now.Sub(s.LastHeard).Milliseconds()
			p.Live = h.Mesh.IsLive(s, now, h.PeerTimeout)
		}
		peers = append(peers, p)
	}
	return peers
}

func (h *Handler) services(current *mfsnapshot.Snapshot) []ServiceStatus {
	services := []ServiceStatus{}
	for id, r := range current.Documents {
		s := ServiceStatus{Service: id, Revision: r.Revision, Wanted: h.wanted(r.Document)}
		for _, k := range current.Runners[id] {
			s.Placed++
			if k.State == mfplacement.StateServing {
				s.Serving++
			}
		}
		services = append(services, s)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].Service < services[j].Service })
	return services
}

func (h *Handler) wanted(d mfdocument.Document) int {
	count := 0
	for _, pool := range d.Place.Pools {
		count += d.Share(mothferry.Shard{DataCentre: h.DataCentre, Pool: pool})
	}
	return count
}

func (h *Handler) listDocuments(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.services(h.Store.Current()))
}

func (h *Handler) getDocument(w http.ResponseWriter, r *http.Request) {
	service := mothferry.ServiceID(r.PathValue("service"))
	record, ok := h.Store.Current().Document(service)
	if !ok {
		writeError(w, &mothferry.ErrNotFound{Kind: "service document", Name: string(service)})
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set(headerRevision, strconv.FormatUint(uint64(record.Revision), 10))
	_, _ = io.WriteString(w, record.Document.YAML())
}

// changeReply is the reply to a change.
type changeReply struct {
	Service  mothferry.ServiceID `json:"service"`
	Revision mothferry.Revision  `json:"revision"`
}

func (h *Handler) putDocument(w http.ResponseWriter, r *http.Request) {
	change, err := readChange(r)
	if err != nil {
		writeError(w, err)
		return
	}
	revision, err := h.Accepter.Accept(r.Context(), change)
	if err != nil {
		writeError(w, err)
		return
	}
	h.Log.WithField("service", change.Document.Service).WithField("revision", revision).WithField("author", change.Author).Info("Document accepted.")
	if err := h.Follower.PublishAccepted(r.Context(), revision); err != nil {
		// The change is accepted and durable; the daemons' polls will find it.
		h.Log.WithError(err).Warn("Accepted document could not be read back.")
	}
	writeJSON(w, http.StatusOK, changeReply{Service: change.Document.Service, Revision: revision})
}

func readChange(r *http.Request) (mfchange.Change, error) {
	service := r.PathValue("service")
	data, err := io.ReadAll(io.LimitReader(r.Body, maxDocument+1))
	if err != nil {
		return mfchange.Change{}, trace.BadParameter("document could not be read: %v", err)
	}
	if len(data) > maxDocument {
		return mfchange.Change{}, trace.BadParameter("document is larger than %d bytes", maxDocument)
	}
	document, err := mfdocument.Parse(service, data)
	if err != nil {
		return mfchange.Change{}, err
	}
	if string(document.Service) != service {
		return mfchange.Change{}, trace.BadParameter("document is of service %q, not %q", document.Service, service)
	}
	query := r.URL.Query()
	base, err := strconv.ParseUint(query.Get(paramBase), 10, 64)
	if err != nil {
		return mfchange.Change{}, trace.BadParameter("%s must be the revision that was edited, 0 for a new document", paramBase)
	}
	if query.Get(paramAuthor) == "" || query.Get(paramToken) == "" {
		return mfchange.Change{}, trace.BadParameter("%s and %s must be given", paramAuthor, paramToken)
	}
	return mfchange.Change{
		Document: document,
		Base:     mothferry.Revision(base),
		Author:   query.Get(paramAuthor),
		Token:    mothferry.Token(query.Get(paramToken)),
	}, nil
}

func (h *Handler) placements(w http.ResponseWriter, _ *http.Request) {
	records := []mfplacement.Record{}
	for _, p := range h.Store.Current().Placements {
		records = append(records, p)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Pool < records[j].Pool })
	writeJSON(w, http.StatusOK, records)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Kinds of error that the operators' interface tells apart.
const (
	kindInvalid  = "invalid"
	kindConflict = "conflict"
	kindMoving   = "host_moving"
	kindNotFound = "not_found"
	kindInternal = "internal"
)

// KindUnavailable is the kind of an ErrRefused whose cause is that the
// platform did not reply to the daemon.
const KindUnavailable = "platform_unavailable"

// failureReply is the body of a failed call.
type failureReply struct {
	Kind     string             `json:"kind"`
	Detail   string             `json:"detail"`
	Problems []problem          `json:"problems,omitempty"`
	Service  string             `json:"service,omitempty"`
	Edited   mothferry.Revision `json:"edited,omitempty"`
	Current  mothferry.Revision `json:"current,omitempty"`
	Author   string             `json:"author,omitempty"`
	Time     time.Time          `json:"time,omitzero"`
	// Difference lists the lines in which the two documents differ.
	Difference string `json:"difference,omitempty"`
}

type problem struct {
	Line  int    `json:"line"`
	Field string `json:"field"`
	Want  string `json:"want"`
}

// writeError replies with an error's status and typed form.
func writeError(w http.ResponseWriter, err error) {
	status, body := encodeFailure(err)
	writeJSON(w, status, body)
}

func encodeFailure(err error) (int, failureReply) {
	var invalid *mfyaml.ErrInvalid
	var conflict *mothferry.ErrDocumentConflict
	var missing *mothferry.ErrNotFound
	var unavailable *mothferry.ErrUnavailable
	var moving *mfhost.ErrMoving
	body := failureReply{Detail: trace.UserMessage(err)}
	switch {
	case errors.As(err, &invalid):
		body.Kind = kindInvalid
		for _, p := range invalid.Problems {
			body.Problems = append(body.Problems, problem{Line: p.Line, Field: p.Field, Want: p.Want})
		}
		return http.StatusBadRequest, body
	case errors.As(err, &conflict):
		body.Kind, body.Service = kindConflict, string(conflict.Service)
		body.Edited, body.Current = conflict.Edited, conflict.Current
		body.Author, body.Time, body.Difference = conflict.Author, conflict.Time, conflict.Difference
		return http.StatusConflict, body
	case errors.As(err, &moving):
		body.Kind = kindMoving
		return http.StatusConflict, body
	case errors.As(err, &missing):
		body.Kind = kindNotFound
		return http.StatusNotFound, body
	case trace.IsBadParameter(err):
		body.Kind = kindInvalid
		return http.StatusBadRequest, body
	case errors.As(err, &unavailable):
		body.Kind = KindUnavailable
		return http.StatusServiceUnavailable, body
	default:
		body.Kind = kindInternal
		return http.StatusInternalServerError, body
	}
}
