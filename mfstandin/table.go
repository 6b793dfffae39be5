// Package mfstandin stands in for the platform and the upstream runners in tests and in the
// demo. It has an in-memory transactional table, an object store, a host list that lags, and
// workers with runners, all with injectable faults.
package mfstandin

import (
	"context"
	"sort"
	"strings"
	"sync"

	"mothferry"
)

// Table is an in-memory transactional table.
type Table struct {
	Clock mothferry.Clock

	mutex sync.Mutex
	rows  map[mothferry.Key]mothferry.Row
	// lastVersion is the largest version assigned. Versions are never reused, so that a row
	// that was deleted and created again is not taken for the old one.
	lastVersion mothferry.Version
	writes      int
	reads       int
}

// TableLoad counts the calls that a table has served.
type TableLoad struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Load returns the counts of the calls served so far.
func (t *Table) Load() TableLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return TableLoad{Reads: t.reads, Writes: t.writes}
}

// Read implements mothferry.Table.
func (t *Table) Read(_ context.Context, q mothferry.Query) ([]mothferry.Row, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reads++
	found := map[mothferry.Key]mothferry.Row{}
	for _, k := range q.Keys {
		if r, ok := t.lookup(k); ok {
			found[k] = r
		}
	}
	for _, p := range q.Prefixes {
		for k := range t.rows {
			if !strings.HasPrefix(string(k), string(p)) {
				continue
			}
			if r, ok := t.lookup(k); ok {
				found[k] = r
			}
		}
	}
	var rows []mothferry.Row
	for _, r := range found {
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements mothferry.Table.
func (t *Table) Commit(_ context.Context, txn mothferry.Txn) (mothferry.Version, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.writes++
	var stale []mothferry.Row
	for _, c := range txn.Checks {
		r, _ := t.lookup(c.Key)
		if r.Version != c.Version {
			r.Key = c.Key
			stale = append(stale, r)
		}
	}
	if len(stale) > 0 {
		return 0, &mothferry.ErrConflict{Rows: stale}
	}
	if t.rows == nil {
		t.rows = map[mothferry.Key]mothferry.Row{}
	}
	t.lastVersion++
	for _, w := range txn.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = mothferry.Row{Key: w.Key, Value: w.Value, Version: t.lastVersion, Expires: w.Expires}
	}
	return t.lastVersion, nil
}

// lookup returns the row of a key unless it is absent or expired.
func (t *Table) lookup(k mothferry.Key) (mothferry.Row, bool) {
	r, ok := t.rows[k]
	if ok && !r.Expires.IsZero() && !t.Clock.Now().Before(r.Expires) {
		delete(t.rows, k)
		return mothferry.Row{}, false
	}
	return r, ok
}

// Objects is an in-memory object store.
type Objects struct {
	mutex sync.Mutex
	data  map[string][]byte
}

// Get implements mothferry.ObjectStore.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	data, ok := o.data[name]
	if !ok {
		return nil, &mothferry.ErrNotFound{Kind: "object", Name: name}
	}
	return data, nil
}

// Put implements mothferry.ObjectStore.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.data == nil {
		o.data = map[string][]byte{}
	}
	o.data[name] = data
	return nil
}
