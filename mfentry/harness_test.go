package mfentry

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdocument"
	"mothferry/mffake"
	"mothferry/mfledger"
	"mothferry/mflog"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfroute"
	"mothferry/mfsnapshot"
)

// fakeRouter is a Router that hands out the runners of a test in turn.
type fakeRouter struct {
	mutex     sync.Mutex
	addresses []string
	next      int
	results   []mfroute.Result
	acquired  int
}

func runnerID(i int) mothferry.TaskID { return mothferry.TaskID(fmt.Sprint("runner-", i)) }

func (u *fakeRouter) Acquire(ctx context.Context, _ mothferry.ServiceID, q mfroute.Request) (*mfroute.Lease, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for range u.addresses {
		i := u.next % len(u.addresses)
		u.next++
		task := runnerID(i)
		if !q.Exclude[task] && ctx.Err() == nil {
			u.acquired++
			return &mfroute.Lease{Task: task, Address: u.addresses[i], Connections: 64}, nil
		}
	}
	return nil, &mothferry.ErrNotRun{Reason: mothferry.ReasonNoRunner}
}

func (u *fakeRouter) Release(_ mothferry.ServiceID, _ *mfroute.Lease, r mfroute.Result) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.results = append(u.results, r)
	u.acquired--
}

// countingObserver is an Observer that remembers.
type countingObserver struct{ count atomic.Int64 }

func (e *countingObserver) Ended(mothferry.ServiceID, mothferry.End, mothferry.Reason, time.Duration) {
	e.count.Add(1)
}

type noMesh struct{}

func (noMesh) Live(time.Duration) []mfpeer.State { return nil }
func (noMesh) DialSpill(context.Context, mothferry.DaemonID, int) (net.Conn, error) {
	return nil, errors.New("no peers here")
}

// newEntry serves a handler whose service "s" runs at the given addresses.
// GET requests under /safe may be repeated.
func newEntry(t testing.TB, addresses ...string) (*Handler, *fakeRouter, string) {
	t.Helper()
	store := mfsnapshot.NewStore()
	d := mfdocument.Default()
	d.Service = "s"
	d.Requests.Deadline = time.Minute
	d.Requests.Repeatable = []mfdocument.Repeatable{{Methods: []string{"GET"}, Path: "/safe"}}
	store.AdoptDelta(mfsnapshot.Delta{Revision: 1, Records: []mfdocument.Record{{Document: d, Revision: 1}}})
	placed := mfplacement.Record{DataCentre: "dc1", Pool: "general", Generation: 1}
	for i := range addresses {
		placed.Runners = append(placed.Runners, mfplacement.Runner{Task: runnerID(i), Service: "s", State: mfplacement.StateServing})
	}
	store.AdoptPlacement(placed)
	router := &fakeRouter{addresses: addresses}
	h := &Handler{
		DataCentre: "dc1", Store: store, Router: router, Mesh: noMesh{}, Transports: &Transports{ConnectTimeout: time.Minute, MaxHeaderBytes: 1 << 16},
		Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Observer: &countingObserver{}, Log: mflog.Discard(),
		NewToken:    func() mothferry.Token { return "generated" },
		BufferBytes: 64 << 10, MaxBodyBytes: 1 << 20, EntryHostCount: 1, PeerTimeout: time.Second,
		Confirmed: time.Now, Notice: time.Second,
	}
	ledger := &mfledger.Ledger{
		Table: mffake.NewTable(mfclock.System{}), Clock: mfclock.System{}, Retention: time.Hour, MaxRecordBytes: 1 << 10,
		NewToken: func() mothferry.Token { return mothferry.Token(rand.Text()) }, Log: mflog.Discard(),
	}
	ledger.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = ledger.Run(ctx) }()
	h.Ledger = ledger
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, router, server.URL
}

// startScripted listens and hands each connection to script.
func startScripted(t testing.TB, script func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(c)
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one whole request and returns its id.
func readRequest(r *bufio.Reader) (mothferry.RequestID, error) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return "", err
	}
	return mothferry.RequestID(q.Header.Get(mothferry.HeaderRequestID)), nil
}

// do sends one request on a connection of its own.
func do(t testing.TB, method, url, body string, header map[string]string) (*http.Response, []byte, error) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response, data, err
}

// startAnswering listens and answers each request with an empty 200, after ran.
func startAnswering(t testing.TB, ran func(mothferry.RequestID)) string {
	t.Helper()
	return startScripted(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			id, err := readRequest(reader)
			if err != nil {
				return
			}
			ran(id)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
}
