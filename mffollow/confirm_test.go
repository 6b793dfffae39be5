package mffollow

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffake"
	"mothferry/mflog"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfsnapshot"
)

// listen opens a loopback listener for a test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// placementWithholder is a daemon that tells of its placements and does not hand them out.
type placementWithholder struct{ *Follower }

// Placement implements mfpeer.Node.
func (placementWithholder) Placement(mothferry.PoolID) (mfplacement.Record, bool) {
	return mfplacement.Record{}, false
}

// withholdsPlacements names the daemons that withhold their placements.
var withholdsPlacements = map[mothferry.DaemonID]bool{"short": true}

// follower returns a follower with a running mesh to the given peers.
func follower(t *testing.T, name mothferry.DaemonID, listener net.Listener, peers ...mfpeer.Peer) *Follower {
	t.Helper()
	table := mffake.NewTable(mfclock.System{})
	table.SetDown(true)
	f := &Follower{
		Self: name, DataCentre: "dc1", Clock: mfclock.System{}, Table: table, Store: mfsnapshot.NewStore(),
		PollInterval: time.Hour, Heartbeat: time.Hour, CompareTimeout: 6 * time.Second, MaxConfirmAge: 30 * time.Minute, Log: mflog.Discard(),
	}
	f.Prepare(mfclock.SystemRandom{})
	f.Mesh = &mfpeer.Mesh{
		Self: name, DataCentre: "dc1", Listener: listener, Peers: peers, Heartbeat: time.Hour, Connect: time.Minute,
		Timeout: time.Minute, Clock: mfclock.System{}, Random: mfclock.SystemRandom{}, Node: f, Log: mflog.Discard(),
	}
	if withholdsPlacements[name] {
		f.Mesh.Node = placementWithholder{f}
	}
	f.Mesh.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = f.Mesh.Run(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return f
}

// awaitSessions waits until the follower has a session to each of its peers.
func awaitSessions(t *testing.T, f *Follower) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, p := range f.Mesh.Peers {
			if _, err := f.Mesh.Exchange(t.Context(), p); err != nil {
				return poll.Continue("no session to %s: %v", p.Daemon, err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// peerAt returns a peer in the data centre of the test followers, reachable at the address of the listener.
func peerAt(name mothferry.DaemonID, listener net.Listener) mfpeer.Peer {
	return mfpeer.Peer{Daemon: name, DataCentre: "dc1", Address: listener.Addr().String()}
}

// TestFrozenPeerDoesNotBlockOthers: symptom, a daemon that resumes from a pause sends
// work to a runner that left. Sequence: of its two peers the one that it asks
// first is frozen; the question uses up all the time for comparing, the other
// peer is not asked, and the daemon takes its old placements for confirmed.
// Cause: one bound for all peers together.
func TestFrozenPeerDoesNotBlockOthers(t *testing.T) {
	frozen, awake, own := listen(t), listen(t), listen(t)
	other := follower(t, "awake", awake, peerAt("own", own))
	other.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 5})
	f := follower(t, "own", own, peerAt("frozen", frozen), peerAt("awake", awake))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.nextPeer = 1
		f.catchUp(t.Context())
		if f.Store.Current().Placements["p"].Generation == 5 {
			return poll.Success()
		}
		return poll.Continue("no session to the peer that is awake")
	}, poll.WithTimeout(time.Minute))
	f.Store = mfsnapshot.NewStore()
	f.nextPeer = 0
	f.catchUp(t.Context())
	assert.Equal(t, f.Store.Current().Placements["p"].Generation, mothferry.Generation(5))
}

// A daemon that resumed from a pause of 3 s sent three requests to runners that had left. The
// peer that it compared its placements with told of newer ones, and did not hand them out in
// time; the daemon took its old ones for confirmed all the same. It asks the next peer now.
func TestMissingPlacementsAreNotConfirmed(t *testing.T) {
	short, awake, own := listen(t), listen(t), listen(t)
	others := []*Follower{
		follower(t, "short", short, peerAt("own", own)),
		follower(t, "awake", awake, peerAt("own", own)),
	}
	f := follower(t, "own", own, peerAt("short", short), peerAt("awake", awake))
	awaitSessions(t, f)
	for _, o := range others {
		o.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 5})
	}
	f.nextPeer = 0
	f.catchUp(t.Context())
	assert.Equal(t, f.Store.Current().Placements["p"].Generation, mothferry.Generation(5))
}

// severableProxy passes connections on to an address and can end them all.
type severableProxy struct {
	net.Listener

	mutex       sync.Mutex
	connections []net.Conn
}

func (s *severableProxy) serve(to string) {
	for {
		near, err := s.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", to)
		if err != nil {
			_ = near.Close()
			continue
		}
		s.mutex.Lock()
		s.connections = append(s.connections, near, far)
		s.mutex.Unlock()
		go func() { _, _ = io.Copy(near, far) }()
		go func() { _, _ = io.Copy(far, near) }()
	}
}

func (s *severableProxy) sever() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, c := range s.connections {
		_ = c.Close()
	}
	s.connections = nil
}

// A daemon whose sessions ended while it was paused must not take its old placements for confirmed.
func TestPeerIsAskedAgainOverNewSession(t *testing.T) {
	awake, own := listen(t), listen(t)
	between := &severableProxy{Listener: listen(t)}
	go between.serve(awake.Addr().String())
	other := follower(t, "awake", awake, mfpeer.Peer{Daemon: "own", DataCentre: "dc1", Address: own.Addr().String()})
	peer := mfpeer.Peer{Daemon: "awake", DataCentre: "dc1", Address: between.Addr().String()}
	f := follower(t, "own", own, peer)
	for generation := mothferry.Generation(5); generation < 15; generation++ {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if _, err := f.Mesh.Exchange(t.Context(), peer); err != nil {
				return poll.Continue("no session to the peer: %v", err)
			}
			return poll.Success()
		}, poll.WithTimeout(time.Minute))
		other.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: generation})
		between.sever()
		f.catchUp(t.Context())
		assert.Equal(t, f.Store.Current().Placements["p"].Generation, generation)
	}
}

// Placements must not count as confirmed by a peer that has just started and has none.
func TestPeerWithoutPlacementsConfirmsNothing(t *testing.T) {
	empty, awake, own := listen(t), listen(t), listen(t)
	follower(t, "empty", empty, peerAt("own", own))
	other := follower(t, "awake", awake, peerAt("own", own))
	f := follower(t, "own", own, peerAt("empty", empty), peerAt("awake", awake))
	awaitSessions(t, f)
	f.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 4})
	other.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 5})
	f.nextPeer = 0
	f.catchUp(t.Context())
	assert.Equal(t, f.Store.Current().Placements["p"].Generation, mothferry.Generation(5))
}

// Placements must not count as confirmed by a peer that was paused equally long and has the same outdated ones.
func TestPausedPeerConfirmsNothing(t *testing.T) {
	paused, awake, own := listen(t), listen(t), listen(t)
	others := []*Follower{
		follower(t, "paused", paused, peerAt("own", own)),
		follower(t, "awake", awake, peerAt("own", own)),
	}
	f := follower(t, "own", own, peerAt("paused", paused), peerAt("awake", awake))
	awaitSessions(t, f)
	f.Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 4})
	others[0].Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 4})
	others[1].Store.AdoptPlacement(mfplacement.Record{DataCentre: "dc1", Pool: "p", Generation: 5})
	others[0].mutex.Lock()
	others[0].confirmed = time.Now().Add(-time.Hour)
	others[0].mutex.Unlock()
	f.nextPeer = 0
	f.catchUp(t.Context())
	assert.Equal(t, f.Store.Current().Placements["p"].Generation, mothferry.Generation(5))
}

// After a pause, placements must not count as confirmed merely because one round got no reply from slow peers.
func TestSlowPeersConfirmNothingAfterPause(t *testing.T) {
	frozen, own := listen(t), listen(t)
	f := follower(t, "own", own, mfpeer.Peer{Daemon: "frozen", DataCentre: "dc1", Address: frozen.Addr().String()})
	resumed := time.Now()
	f.mutex.Lock()
	f.CompareTimeout, f.MaxConfirmAge, f.Heartbeat = 50*time.Millisecond, time.Second, 10*time.Millisecond
	f.confirmed = resumed.Add(-time.Hour)
	f.mutex.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { f.confirm(ctx) })
	defer group.Wait()
	defer cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Confirmed().After(resumed) {
			return poll.Success()
		}
		return poll.Continue("placements are not confirmed yet")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
	assert.Assert(t, time.Since(resumed) >= f.MaxConfirmAge)
}
