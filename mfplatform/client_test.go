package mfplatform_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfplatform"
	"mothferry/mfstandin"
)

func client(t *testing.T, handler http.Handler) *mfplatform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &mfplatform.Client{URL: server.URL, Timeout: 10 * time.Second, HTTP: server.Client()}
}

// TestErrorsKeepFieldsOverHTTP shows that the errors of an implementation arrive
// with their fields.
func TestErrorsKeepFieldsOverHTTP(t *testing.T) {
	standin, err := mfstandin.New(mfclock.System{}, mfstandin.Fleet{
		DataCentres: []mothferry.DataCentre{"dc1"}, Pools: []mothferry.PoolID{"p"}, HostsPerPool: 1, HostsPerRack: 1,
	})
	assert.NilError(t, err)
	c := client(t, standin.Handler())
	write := mothferry.Txn{Checks: []mothferry.Check{{Key: "k"}}, Writes: []mothferry.Write{{Key: "k", Value: []byte("v")}}}
	version, err := c.Commit(t.Context(), write)
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), write)
	var conflict *mothferry.ErrConflict
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.DeepEqual(t, conflict.Rows, []mothferry.Row{{Key: "k", Value: []byte("v"), Version: version}})

	old := mothferry.Fence{Shard: mothferry.Shard{DataCentre: "dc1", Pool: "p"}, Epoch: 1}
	latest := old
	latest.Epoch = 2
	assert.NilError(t, c.Stop(t.Context(), "dc1-p-000", latest, "none"))
	err = c.Start(t.Context(), "dc1-p-000", old, mothferry.TaskSpec{Task: "t"})
	var fenced *mothferry.ErrFenced
	assert.Assert(t, errors.As(err, &fenced), "%v", err)
	assert.Equal(t, *fenced, mothferry.ErrFenced{Fence: old, Latest: 2})

	var missing *mothferry.ErrNotFound
	assert.Assert(t, errors.As(c.Drain(t.Context(), "nowhere", old), &missing))
	_, err = c.Platform().Objects.Get(t.Context(), "none")
	assert.Assert(t, errors.As(err, &missing))
}

// TestMalformedReplies shows that whatever the platform replies becomes a
// typed error: ErrUnavailable if the reply did not arrive whole, since the
// change may have been made, and ErrBadReply if it makes no sense.
func TestMalformedReplies(t *testing.T) {
	for _, k := range []struct {
		name        string
		reply       http.HandlerFunc
		unavailable bool
	}{
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }, false},
		{"other JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"rows": 7}`)) }, false},
		{"error without kind", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, false},
		{"unknown kind", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(500)
			_, _ = w.Write([]byte(`{"kind": "odd"}`))
		}, false},
		{"cut", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
			panic(http.ErrAbortHandler)
		}, true},
		{"closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
	} {
		t.Run(k.name, func(t *testing.T) {
			_, err := client(t, k.reply).Read(t.Context(), mothferry.Query{})
			var unavailable *mothferry.ErrUnavailable
			var bad *mothferry.ErrBadReply
			assert.Equal(t, errors.As(err, &unavailable), k.unavailable, "%v", err)
			assert.Equal(t, errors.As(err, &bad), !k.unavailable, "%v", err)
		})
	}
}
