//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfstandin"
)

// commitDuration is how long a transaction takes.
const commitDuration = 4 * time.Millisecond

// store serves the rows of the platform's metadata store over its protocol.
type store struct {
	rows mfstandin.Rows

	record *record

	mutex sync.Mutex
	// lost is the key of a row whose next write gets no answer and is performed late; empty for none.
	lost     string
	lateness time.Duration
}

type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type wireTxn struct {
	ExpectRev []wireRow `json:"expect_rev"`
	Writes    []wireRow `json:"writes"`
	Remove    []wireRow `json:"remove"`
	Across    bool      `json:"across"`
}

func (t wireTxn) txn() (mothferry.Txn, []string) {
	out := mothferry.Txn{SpansParts: t.Across}
	var keys []string
	for _, r := range t.ExpectRev {
		out.Checks = append(out.Checks, mothferry.Check{Table: mothferry.TableID(r.Table), Part: mothferry.PartID(r.Part), Key: mothferry.Key(r.Key), Version: mothferry.Version(r.Ver)})
	}
	for _, r := range t.Writes {
		keys = append(keys, r.Key)
		out.Writes = append(out.Writes, mothferry.Write{Table: mothferry.TableID(r.Table), Part: mothferry.PartID(r.Part), Key: mothferry.Key(r.Key), Value: r.Value})
	}
	for _, r := range t.Remove {
		out.Writes = append(out.Writes, mothferry.Write{Table: mothferry.TableID(r.Table), Part: mothferry.PartID(r.Part), Key: mothferry.Key(r.Key), Delete: true})
	}
	return out, keys
}

// loseOnce lets the next write of a row get no answer and be performed a while later.
func (s *store) loseOnce(key string, lateness time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lost, s.lateness = key, lateness
}

// lateBy returns by how much a transaction is late that writes to some rows; false if it is not.
func (s *store) lateBy(keys []string) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.lost == "" || !slices.Contains(keys, s.lost) {
		return 0, false
	}
	s.lost = ""
	return s.lateness, true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		page, err := s.rows.Range(r.Context(), mothferry.RowRange{
			Table: mothferry.TableID(q.Get("table")), Part: mothferry.PartID(q.Get("part")),
			From: mothferry.Key(q.Get("from")), To: mothferry.Key(q.Get("target")), Limit: limit,
		})
		respond(w, page, err)
	case "/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		page, err := s.rows.Follow(r.Context(), mothferry.TableID(q.Get("table")), mothferry.Version(after), time.Duration(wait)*time.Millisecond)
		respond(w, page, err)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body wireTxn
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if refusesTables(body) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	txn, keys := body.txn()
	if delay, late := s.lateBy(keys); late {
		s.record.printf("store: the write of %v gets no answer, and is performed %.1f s later", keys, delay.Seconds())
		time.AfterFunc(delay, func() {
			_, err := s.rows.Commit(context.Background(), txn)
			s.record.printf("store: the late write of %v is performed, error: %v", keys, err)
		})
		// The response is lost, and the channel delivers nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(commitDuration)
	version, err := s.rows.Commit(r.Context(), txn)
	var conflict *mothferry.ErrConflict
	if errors.As(err, &conflict) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": encodeRows(conflict.Rows), "ver": uint64(version)})
		return
	}
	respond(w, mothferry.RowPage{Version: version}, err)
}

// refusesTables reports whether a transaction writes to tables of the operator or of the runners.
func refusesTables(t wireTxn) bool {
	for _, r := range append(append([]wireRow{}, t.Writes...), t.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			return true
		}
	}
	return false
}

func respond(w http.ResponseWriter, page mothferry.RowPage, err error) {
	var gone *mothferry.ErrHistoryGone
	var rejected *mothferry.ErrRejected
	switch {
	case errors.As(err, &gone):
		w.WriteHeader(http.StatusGone)
	case errors.As(err, &rejected):
		w.WriteHeader(rejected.Status)
	default:
		_ = json.NewEncoder(w).Encode(map[string]any{"rows": encodeRows(page.Rows), "has_more": page.More, "ver": uint64(page.Version)})
	}
}

func encodeRows(rows []mothferry.Row) []wireRow {
	out := []wireRow{}
	for _, r := range rows {
		out = append(out, wireRow{Table: string(r.Table), Part: string(r.Part), Key: string(r.Key), Value: r.Value, Ver: uint64(r.Version), Tombstone: r.Deleted})
	}
	return out
}

// put writes a row of the operator or of a runner; an empty value removes it.
func (s *store) put(table, key string, value any) {
	w := mothferry.Write{Table: mothferry.TableID(table), Key: mothferry.Key(key), Delete: value == nil}
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		w.Value = data
	}
	if _, err := s.rows.Commit(context.Background(), mothferry.Txn{Writes: []mothferry.Write{w}}); err != nil {
		panic(strings.Join([]string{table, key, err.Error()}, " "))
	}
}
