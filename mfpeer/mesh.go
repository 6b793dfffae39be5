// Package mfpeer connects the daemons of a deployment with one another, over
// yamux sessions that carry protobuf messages. Each daemon dials each of its
// peers and sends its own calls over the session that it dialled.
package mfpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfpeer/mfwire"
	"mothferry/mfplacement"
	"mothferry/mfsession"
	"mothferry/mfsnapshot"
	"mothferry/mftraffic"
)

// Node is the daemon behind the mesh: it answers peers' calls and learns
// from what they tell.
type Node interface {
	// Status returns the daemon's own heartbeat.
	Status() Status
	// Since returns the documents accepted after a revision.
	Since(base mothferry.Revision) mfsnapshot.Delta
	// Placement returns the placement of a pool of this data centre that is in force.
	Placement(pool mothferry.PoolID) (mfplacement.Record, bool)
	// HandleStatus is called with each heartbeat of a peer.
	HandleStatus(from Peer, s Status)
	// HandleChanges is called with documents that a peer pushes.
	HandleChanges(from Peer, d mfsnapshot.Delta)
	// HandlePlacement is called with a placement that a peer pushes.
	HandlePlacement(from Peer, p mfplacement.Record)
}

// Intervals and bounds that are not settings.
const (
	maxRedialDelay        = 2 * time.Second
	acceptBacklog         = 1024
	spillHandshakeTimeout = 5 * time.Second
	// remoteFactor is how many times longer the interval of heartbeats to
	// daemons of other data centres is. They share no runners; what they need
	// to hear is who could take over requests, and which revision is in force.
	remoteFactor = 4
)

// State is what the mesh knows of one peer.
type State struct {
	Peer Peer
	// LastHeard is when the peer's last heartbeat arrived; zero if none has.
	LastHeard time.Time
	Status    Status
}

// ErrNoSession reports that there is no session to a peer at present.
type ErrNoSession struct {
	Daemon mothferry.DaemonID
}

// Error implements error.
func (e *ErrNoSession) Error() string {
	return fmt.Sprintf("no session to peer %s", e.Daemon)
}

// Mesh is one daemon's connections to its peers.
type Mesh struct {
	Self       mothferry.DaemonID
	DataCentre mothferry.DataCentre
	// Listener takes the peers' connections.
	Listener  net.Listener
	Peers     []Peer
	Heartbeat time.Duration
	// Connect bounds dialling; Timeout bounds one call.
	Connect time.Duration
	Timeout time.Duration
	Clock   mothferry.Clock
	Random  mothferry.Random
	Node    Node
	// Spill serves the requests that peers of other data centres pass on.
	Spill http.Handler
	Log   *log.Entry

	// Traffic counts the bytes on the connections to peers.
	Traffic mftraffic.Counter

	mutex    sync.Mutex
	states   map[mothferry.DaemonID]*State
	sessions map[mothferry.DaemonID]*mfsession.Session
	incoming map[*mfsession.Session]struct{}
	spills   *spillListener
	// opened is closed, and replaced, when a session is opened.
	opened chan struct{}
}

// Prepare readies a mesh for use before Run.
func (m *Mesh) Prepare() {
	m.states = map[mothferry.DaemonID]*State{}
	m.sessions = map[mothferry.DaemonID]*mfsession.Session{}
	m.incoming = map[*mfsession.Session]struct{}{}
	m.spills = newSpillListener()
	m.opened = make(chan struct{})
	for _, p := range m.Peers {
		m.states[p.Daemon] = &State{Peer: p}
	}
}

// Run keeps sessions to all peers and answers their calls until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	server := m.spillServer()
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(m.spills) })
	group.Go(func() { m.accept(ctx) })
	for _, p := range m.Peers {
		group.Go(func() { m.keepSession(ctx, p) })
	}
	<-ctx.Done()
	_ = m.Listener.Close()
	_ = server.Close()
	m.closeSessions()
	group.Wait()
	return ctx.Err()
}

// States returns what is known of each peer, ordered by daemon.
func (m *Mesh) States() []State {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var out []State
	for _, s := range m.states {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Peer.Daemon < out[j].Peer.Daemon })
	return out
}

// Live returns the peers that are not stopping and were heard within bound, or
// within a longer one in proportion to their heartbeats if they are in other
// data centres.
func (m *Mesh) Live(bound time.Duration) []State {
	now := m.Clock.Now()
	var live []State
	for _, s := range m.States() {
		if m.IsLive(s, now, bound) && !s.Status.Stopping {
			live = append(live, s)
		}
	}
	return live
}

// IsLive reports whether a peer was heard within bound, as Live counts it.
func (m *Mesh) IsLive(s State, now time.Time, bound time.Duration) bool {
	return !s.LastHeard.IsZero() && now.Sub(s.LastHeard) < bound*time.Duration(m.heartbeatFactor(s.Peer))
}

// heartbeatFactor is how many times Heartbeat the interval to a peer is.
func (m *Mesh) heartbeatFactor(p Peer) int {
	if p.DataCentre == m.DataCentre {
		return 1
	}
	return remoteFactor
}

// Changes asks a peer for the documents accepted after base.
func (m *Mesh) Changes(ctx context.Context, peer mothferry.DaemonID, base mothferry.Revision) (mfsnapshot.Delta, error) {
	call := &mfwire.Call{Kind: &mfwire.Call_ChangesSince{ChangesSince: &mfwire.ChangesSince{Base: uint64(base)}}}
	reply, err := m.call(ctx, peer, call)
	if err != nil {
		return mfsnapshot.Delta{}, err
	}
	return decodeChanges(reply.GetChanges())
}

// Placement asks a peer for the placement of a pool of its data centre.
func (m *Mesh) Placement(ctx context.Context, peer mothferry.DaemonID, pool mothferry.PoolID) (mfplacement.Record, error) {
	call := &mfwire.Call{Kind: &mfwire.Call_PlacementOf{PlacementOf: &mfwire.PlacementOf{Pool: string(pool)}}}
	reply, err := m.call(ctx, peer, call)
	if err != nil {
		return mfplacement.Record{}, err
	}
	return mfplacement.Decode(reply.GetPlacement().GetRecord())
}

// Exchange swaps heartbeats with a peer and returns the peer's.
func (m *Mesh) Exchange(ctx context.Context, p Peer) (Status, error) {
	call := &mfwire.Call{Kind: &mfwire.Call_Status{Status: m.statusFor(p)}}
	reply, err := m.call(ctx, p.Daemon, call)
	if err != nil {
		return Status{}, err
	}
	m.recordStatus(p, reply.GetStatus())
	return decodeStatus(reply.GetStatus()), nil
}

// statusFor returns the heartbeat for a peer.
func (m *Mesh) statusFor(p Peer) *mfwire.Status {
	status := m.Node.Status()
	if p.DataCentre != m.DataCentre {
		status = status.remote()
	}
	return status.encode()
}

// Push sends newly accepted documents to every peer and waits for their
// replies, which tell what each has in force. A peer that misses the push
// learns the revision from the next heartbeat.
func (m *Mesh) Push(ctx context.Context, d mfsnapshot.Delta) {
	changes, err := encodeChanges(d)
	if err != nil {
		m.Log.WithError(err).Error("Documents could not be encoded.")
		return
	}
	m.broadcast(ctx, func(Peer) bool { return true }, &mfwire.Call{Kind: &mfwire.Call_Changes{Changes: changes}})
}

// PushPlacement sends a placement to every peer of this data centre.
func (m *Mesh) PushPlacement(ctx context.Context, p mfplacement.Record) {
	record, err := p.Encode()
	if err != nil {
		m.Log.WithError(err).Error("Placement could not be encoded.")
		return
	}
	near := func(k Peer) bool { return k.DataCentre == m.DataCentre }
	m.broadcast(ctx, near, &mfwire.Call{Kind: &mfwire.Call_Placement{Placement: &mfwire.Placement{Record: record}}})
}

// broadcast sends one call to the chosen peers at the same time and waits for them.
func (m *Mesh) broadcast(ctx context.Context, chosen func(Peer) bool, kind *mfwire.Call) {
	var group sync.WaitGroup
	for _, p := range m.Peers {
		if !chosen(p) {
			continue
		}
		group.Go(func() {
			reply, err := m.call(ctx, p.Daemon, &mfwire.Call{Kind: kind.GetKind()})
			if err != nil {
				m.Log.WithField("peer", p.Daemon).WithError(err).Debug("Push failed.")
				return
			}
			if status := reply.GetStatus(); status != nil {
				m.recordStatus(p, status)
			}
		})
	}
	group.Wait()
}

// keepSession dials a peer whenever there is no session to it and, while
// there is one, sends heartbeats.
func (m *Mesh) keepSession(ctx context.Context, p Peer) {
	pause := m.Heartbeat
	for ctx.Err() == nil {
		session, err := m.dial(ctx, p)
		if err != nil {
			m.Log.WithField("peer", p.Daemon).WithError(err).Debug("Peer cannot be reached.")
			jitter := time.Duration(float64(pause) * (0.5 + m.Random.Float64()))
			mfclock.Sleep(ctx, m.Clock, jitter)
			pause = min(2*pause, maxRedialDelay)
			continue
		}
		pause = m.Heartbeat
		m.Log.WithField("peer", p.Daemon).Info("Session opened.")
		m.exchangeHeartbeats(ctx, p, session)
		m.drop(p.Daemon, session)
		if ctx.Err() == nil {
			m.Log.WithField("peer", p.Daemon).Warn("Session lost.")
		}
	}
}

func (m *Mesh) dial(ctx context.Context, p Peer) (*mfsession.Session, error) {
	dialer := &net.Dialer{Timeout: m.Connect}
	connection, err := dialer.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	session, err := mfsession.Client(m.Traffic.Wrap(connection), m.sessionConfig())
	if err != nil {
		_ = connection.Close()
		return nil, trace.Wrap(err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sessions[p.Daemon] = session
	close(m.opened)
	m.opened = make(chan struct{})
	return session, nil
}

// AwaitSession waits until there is a session to a peer.
func (m *Mesh) AwaitSession(ctx context.Context, peer mothferry.DaemonID) error {
	for {
		m.mutex.Lock()
		_, there := m.sessions[peer]
		opened := m.opened
		m.mutex.Unlock()
		if there {
			return nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return trace.Wrap(&ErrNoSession{Daemon: peer})
		}
	}
}

// exchangeHeartbeats exchanges heartbeats with a peer until a call fails. Of two peers only
// the one with the smaller id begins: the reply carries the other's status.
// The other side merely watches its session.
func (m *Mesh) exchangeHeartbeats(ctx context.Context, p Peer, session *mfsession.Session) {
	for ctx.Err() == nil {
		if m.Self < p.Daemon {
			if _, err := m.Exchange(ctx, p); err != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-session.CloseChan():
			return
		case <-m.Clock.After(m.Heartbeat * time.Duration(m.heartbeatFactor(p))):
		}
	}
}

// recordStatus notes a heartbeat and hands it to the node.
func (m *Mesh) recordStatus(p Peer, w *mfwire.Status) {
	status := decodeStatus(w)
	m.mutex.Lock()
	state := m.states[p.Daemon]
	state.LastHeard, state.Status = m.Clock.Now(), status
	m.mutex.Unlock()
	m.Node.HandleStatus(p, status)
}

func (m *Mesh) session(peer mothferry.DaemonID) (*mfsession.Session, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	session, ok := m.sessions[peer]
	if !ok {
		return nil, trace.Wrap(&ErrNoSession{Daemon: peer})
	}
	return session, nil
}

func (m *Mesh) drop(peer mothferry.DaemonID, session *mfsession.Session) {
	_ = session.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.sessions[peer] == session {
		delete(m.sessions, peer)
	}
}

func (m *Mesh) closeSessions() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, s := range m.sessions {
		_ = s.Close()
	}
	for s := range m.incoming {
		_ = s.Close()
	}
}

func (m *Mesh) sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.AcceptBacklog = acceptBacklog
	// Heartbeats find out dead sessions sooner than yamux's own keep-alive.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = m.Timeout
	return config
}
