package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the pages give them.
const (
	txDuration    = 4 * time.Millisecond
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxRowBytes   = 65536
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	storeHistory  = 20 * time.Second
	maxFeedWaitMs = 30000
)

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type change struct {
	row row
	at  time.Time
}

// store is the platform's metadata store.
type store struct {
	record *record
	began  time.Time

	mutex   sync.Mutex
	ver     uint64
	dropped uint64
	rows    map[rowName]row
	history []change
	wake    chan struct{}
	parts   map[string]*sync.Mutex
	refused int
}

func newStore(r *record) *store {
	return &store{record: r, began: time.Now(), rows: map[rowName]row{}, wake: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

type txRequest struct {
	ExpectRev []struct {
		rowName
		Ver uint64 `json:"ver"`
	} `json:"expect_rev"`
	Writes []struct {
		rowName
		Value []byte `json:"value"`
	} `json:"writes"`
	Remove []rowName `json:"remove"`
	Across bool      `json:"across"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/rows-tx":
		s.commit(w, r)
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t txRequest
	size := r.ContentLength
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if why := t.invalid(size); why != "" {
		s.refuse(why)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, k := range t.Writes {
		if k.Table == "op" || k.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	part := s.part(t.firstPart())
	part.Lock()
	defer part.Unlock()
	time.Sleep(txDuration)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var current []row
	conflict := false
	for _, e := range t.ExpectRev {
		known, ok := s.rows[e.rowName]
		if ok {
			current = append(current, known)
		}
		conflict = conflict || known.Ver != e.Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.ver++
	for _, k := range t.Writes {
		s.put(row{Table: k.Table, Part: k.Part, Key: k.Key, Value: k.Value, Ver: s.ver})
	}
	for _, k := range t.Remove {
		if _, ok := s.rows[k]; ok {
			s.put(row{Table: k.Table, Part: k.Part, Key: k.Key, Ver: s.ver, Tombstone: true})
		}
	}
	s.notify()
	s.reply(w, http.StatusOK, map[string]any{})
}

// invalid returns which limit of the pages a call exceeds, or an empty string.
func (t *txRequest) invalid(size int64) string {
	if len(t.ExpectRev)+len(t.Writes)+len(t.Remove) > maxTxEntries {
		return "more than 100 entries"
	}
	if size > maxTxBytes {
		return "more than 1 MB"
	}
	for _, k := range t.Writes {
		if len(k.Value) > maxRowBytes {
			return "value of " + strconv.Itoa(len(k.Value)) + " bytes in table " + k.Table + " key " + k.Key
		}
	}
	return ""
}

func (t *txRequest) firstPart() string {
	switch {
	case len(t.Writes) > 0:
		return t.Writes[0].Part
	case len(t.Remove) > 0:
		return t.Remove[0].Part
	default:
		return ""
	}
}

func (s *store) part(name string) *sync.Mutex {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p, ok := s.parts[name]
	if !ok {
		p = &sync.Mutex{}
		s.parts[name] = p
	}
	return p
}

func (s *store) refuse(why string) {
	s.mutex.Lock()
	s.refused++
	n := s.refused
	s.mutex.Unlock()
	if n <= 3 || n%50 == 0 {
		s.record.say("store: transaction refused with 400, %s (refusal %d)", why, n)
	}
}

// put changes a row; the mutex is held.
func (s *store) put(r row) {
	name := rowName{r.Table, r.Part, r.Key}
	if r.Tombstone {
		delete(s.rows, name)
	} else {
		s.rows[name] = r
	}
	s.history = append(s.history, change{r, time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.dropped = s.history[0].row.Ver
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// write changes a row as the operator or a runner does.
func (s *store) write(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ver++
	s.put(row{Table: table, Key: key, Value: data, Ver: s.ver})
	s.notify()
}

func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.rows[rowName{table, "", key}]; !ok {
		return
	}
	s.ver++
	s.put(row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	s.notify()
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	time.Sleep(txDuration)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []row
	for name, known := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (q.Get("target") == "" || name.Key < q.Get("target")) {
			found = append(found, known)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	page, bytes := []row{}, 0
	for _, k := range found {
		if len(page) == limit || len(page) > 0 && bytes+len(k.Value) > maxPageBytes {
			break
		}
		page, bytes = append(page, k), bytes+len(k.Value)
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": page, "has_more": len(page) < len(found)})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, maxFeedWaitMs)) * time.Millisecond)
	time.Sleep(txDuration)
	for {
		s.mutex.Lock()
		if after < s.dropped {
			s.mutex.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		changed := []row{}
		for _, c := range s.history {
			if c.row.Ver > after && c.row.Table == q.Get("table") {
				changed = append(changed, c.row)
			}
		}
		wake := s.wake
		if len(changed) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": changed})
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mutex.Lock()
			s.reply(w, http.StatusOK, map[string]any{"rows": changed})
			s.mutex.Unlock()
			return
		}
	}
}

// reply adds the version and the clock to an answer; the mutex is held.
func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now_ms"] = s.ver, time.Since(s.began).Milliseconds()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// value returns the value of a row, or an empty string.
func (s *store) value(table, part, key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return strings.TrimSpace(string(s.rows[rowName{table, part, key}].Value))
}
