package mfpeer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfdocument"
	"mothferry/mflog"
	"mothferry/mfpeer/mfwire"
	"mothferry/mfplacement"
	"mothferry/mfsnapshot"
)

// fakeNode is a Node that records what it is told.
type fakeNode struct {
	mutex  sync.Mutex
	status Status
	pushed []mfsnapshot.Delta
	heard  int
}

func (n *fakeNode) Status() Status { return n.status }
func (n *fakeNode) Since(base mothferry.Revision) mfsnapshot.Delta {
	d := mfdocument.Default()
	d.Service = "s"
	return mfsnapshot.Delta{Base: base, Revision: 7, Records: []mfdocument.Record{{Document: d, Revision: 7}}}
}

func (n *fakeNode) Placement(pool mothferry.PoolID) (mfplacement.Record, bool) {
	return mfplacement.Record{DataCentre: "dc1", Pool: pool, Generation: 3}, pool == "p"
}

func (n *fakeNode) HandleStatus(Peer, Status) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.heard++
}

func (n *fakeNode) HandleChanges(_ Peer, d mfsnapshot.Delta) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.pushed = append(n.pushed, d)
}

func (n *fakeNode) HandlePlacement(Peer, mfplacement.Record) {}

// newMeshPair runs two meshes that know each other.
func newMeshPair(t *testing.T) (a, b *Mesh, nodes [2]*fakeNode) {
	t.Helper()
	var meshes [2]*Mesh
	var peers []Peer
	for i, name := range []mothferry.DaemonID{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		nodes[i] = &fakeNode{status: Status{Revision: mothferry.Revision(i + 1), Services: map[mothferry.ServiceID]ServiceStatus{"s": {Queued: 4, InFlight: []int{1, 2}}}, Shards: map[mothferry.PoolID]ShardStatus{"p": {Generation: 3, InFlightLeaving: 1}}}}
		meshes[i] = &Mesh{
			Self: name, DataCentre: "dc1", Listener: listener, Heartbeat: 10 * time.Millisecond, Connect: 10 * time.Second, Timeout: 10 * time.Second,
			Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Node: nodes[i], Log: mflog.Discard(),
			Spill: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(append(body, '0'+byte(Hops(r.Context()))))
			}),
		}
		peers = append(peers, Peer{Daemon: name, DataCentre: "dc1", Address: listener.Addr().String()})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i, m := range meshes {
		m.Peers = peers[1-i : 2-i]
		m.Prepare()
		group.Go(func() { _ = m.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	for _, m := range meshes {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, err := m.session(m.Peers[0].Daemon); err == nil && len(m.Live(time.Hour)) == 1 {
				return poll.Success()
			}
			return poll.Continue("no session")
		}, poll.WithTimeout(time.Minute))
	}
	return meshes[0], meshes[1], nodes
}

func TestCalls(t *testing.T) {
	a, _, nodes := newMeshPair(t)
	assert.DeepEqual(t, a.States()[0].Status, nodes[1].status)
	delta, err := a.Changes(t.Context(), "b", 3)
	assert.NilError(t, err)
	assert.Equal(t, delta.Base, mothferry.Revision(3))
	assert.Equal(t, delta.Records[0].Document.Service, mothferry.ServiceID("s"))
	placement, err := a.Placement(t.Context(), "b", "p")
	assert.NilError(t, err)
	assert.Equal(t, placement.Generation, mothferry.Generation(3))
	_, err = a.Placement(t.Context(), "b", "none")
	var bad *ErrBadFrame
	assert.Assert(t, errors.As(err, &bad), "%v", err)
	a.Push(t.Context(), delta)
	assert.Equal(t, len(nodes[1].pushed), 1)
	var gone *ErrNoSession
	_, err = a.Changes(t.Context(), "nobody", 0)
	assert.Assert(t, errors.As(err, &gone), "%v", err)
}

func TestSpillCarriesOneExchange(t *testing.T) {
	a, _, _ := newMeshPair(t)
	connection, err := a.DialSpill(t.Context(), "b", 1)
	assert.NilError(t, err)
	defer connection.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://peer/s/x", io.LimitReader(zeros{}, 100_000))
	assert.NilError(t, err)
	assert.NilError(t, request.Write(connection))
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), 100_001)
	assert.Equal(t, body[100_000], byte('1'))
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestMalformedFrames: bytes that are no message, messages without a kind and
// daemons that the settings do not name are refused, and the mesh goes on.
func TestMalformedFrames(t *testing.T) {
	_, b, nodes := newMeshPair(t)
	session := func() *yamux.Session {
		connection, err := net.Dial("tcp", b.Listener.Addr().String())
		assert.NilError(t, err)
		s, err := yamux.Client(connection, b.sessionConfig())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	for _, raw := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {5, 1, 2, 3, 4, 5}, {0xff, 0xff, 0xff, 0x7f}} {
		stream, err := session().OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write(raw)
		assert.NilError(t, err)
		_ = stream.Close()
		_, _ = io.ReadAll(stream)
	}
	for _, call := range []*mfwire.Call{
		{},
		{Daemon: "a"},
		{Daemon: "stranger", Kind: &mfwire.Call_Changes{Changes: &mfwire.Changes{Revision: 99}}},
		{Daemon: "a", Kind: &mfwire.Call_Changes{Changes: &mfwire.Changes{Revision: 99, Records: [][]byte{[]byte("{")}}}},
		{Daemon: "a", Kind: &mfwire.Call_Placement{Placement: &mfwire.Placement{Record: []byte("7")}}},
	} {
		stream, err := session().OpenStream()
		assert.NilError(t, err)
		_, err = protodelim.MarshalTo(stream, call)
		assert.NilError(t, err)
		var reply mfwire.Reply
		assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(stream), &reply))
		assert.Assert(t, reply.GetFailure() != nil, "%v", call)
	}
	connection, err := net.Dial("tcp", b.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = connection.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	assert.NilError(t, err)
	_ = connection.Close()
	assert.Equal(t, len(nodes[1].pushed), 0)
	assert.Equal(t, len(b.Live(time.Hour)), 1)
}

// FuzzAnswer shows that no message makes a daemon panic.
func FuzzAnswer(f *testing.F) {
	f.Add("a", uint64(1), []byte("{}"))
	m := &Mesh{Peers: []Peer{{Daemon: "a"}}, Node: &fakeNode{}, Clock: mfclock.System{}, Log: mflog.Discard()}
	m.Prepare()
	f.Fuzz(func(_ *testing.T, daemon string, number uint64, data []byte) {
		m.answer(&mfwire.Call{Daemon: daemon, Kind: &mfwire.Call_Changes{Changes: &mfwire.Changes{Base: number, Revision: number, Records: [][]byte{data}}}})
		m.answer(&mfwire.Call{Daemon: daemon, Kind: &mfwire.Call_Placement{Placement: &mfwire.Placement{Record: data}}})
		m.answer(&mfwire.Call{Daemon: daemon, Kind: &mfwire.Call_Status{Status: nil}})
	})
}
