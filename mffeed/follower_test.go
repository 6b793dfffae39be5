package mffeed_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffeed"
	"mothferry/mflog"
	"mothferry/mfstandin"
)

// Symptom guarded against: a host goes on without what changed while the store
// dropped its history.
// Events: rows change, the history goes, rows change again.
func TestLostHistoryIsReadAgain(t *testing.T) {
	rows := &mfstandin.Rows{}
	var mutex sync.Mutex
	seen := map[mothferry.Key]string{}
	f := &mffeed.Follower{
		Store: rows, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Log: mflog.Discard(),
		Table: "t", Parts: []mothferry.PartID{"a", "b"}, Wait: 50 * time.Millisecond,
		Apply: func(changed []mothferry.Row, _ bool) {
			mutex.Lock()
			defer mutex.Unlock()
			for _, r := range changed {
				seen[r.Key] = string(r.Value)
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	put := func(part mothferry.PartID, key mothferry.Key, value string) {
		_, err := rows.Commit(ctx, mothferry.Txn{Writes: []mothferry.Write{{Table: "t", Part: part, Key: key, Value: []byte(value)}}})
		assert.NilError(t, err)
	}
	wait := func(key mothferry.Key, value string) {
		t.Helper()
		for range 200 {
			mutex.Lock()
			got := seen[key]
			mutex.Unlock()
			if got == value {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("%s never became %s", key, value)
	}
	put("a", "k", "1")
	wait("k", "1")
	put("b", "k2", "2")
	rows.DropHistory()
	wait("k2", "2")
	put("a", "k", "3")
	wait("k", "3")
}
