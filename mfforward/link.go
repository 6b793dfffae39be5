package mfforward

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"mothferry"
	"mothferry/mfforward/mfwire"
	"mothferry/mfrecord"
	"mothferry/mfsession"
)

const (
	// dialTimeout bounds the dialling of a connection, which a caller waits for.
	dialTimeout = 300 * time.Millisecond
	// heartbeatInterval is how often a peer is sent a heartbeat, heartbeatTimeout how long its
	// reply may take. Without a reply the link and all its calls end.
	heartbeatInterval = 250 * time.Millisecond
	heartbeatTimeout  = 450 * time.Millisecond
	// idleTimeout is after how long without a call a link is closed.
	idleTimeout = 5 * time.Second
	// maxFrame bounds one message, in bytes: a job of the largest body and its fields.
	maxFrame = 1 << 20
)

// link is the connection to one peer.
type link struct {
	host  mfrecord.Host
	clock mothferry.Clock
	// onStatus is called with each reply's report of whether the store serves the peer.
	onStatus func(serving bool)

	// ready is closed once the connection is made or has failed.
	ready   chan struct{}
	session *mfsession.Session
	dialErr error
	// retire removes the link if it is idle, and reports whether it was.
	retire func() bool

	mutex     sync.Mutex
	lastUsed  time.Time
	openCalls int
	lastHeard time.Time
	// serving is what the peer reported last.
	serving bool
}

// run connects and keeps the link until it is idle, the peer is unresponsive or ctx ends.
func (l *link) run(ctx context.Context) error {
	err := l.connect(ctx)
	l.dialErr = err
	close(l.ready)
	if err != nil {
		return err
	}
	defer func() { _ = l.session.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.session.CloseChan():
			return trace.Errorf("peer closed the connection")
		case <-l.clock.After(heartbeatInterval):
		}
		if l.retire() {
			return nil
		}
		if _, _, err := l.exchange(&mfwire.Call{}, heartbeatTimeout); err != nil {
			return trace.Wrap(err, "heartbeat to peer")
		}
	}
}

func (l *link) connect(ctx context.Context) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", l.host.Forward)
	if err != nil {
		return trace.Wrap(err)
	}
	session, err := mfsession.Client(connection, sessionConfig())
	if err != nil {
		_ = connection.Close()
		return trace.Wrap(err)
	}
	l.session = session
	return nil
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	// Heartbeats detect dead sessions sooner than yamux's own keep-alive.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = heartbeatTimeout
	return config
}

func (l *link) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.openCalls == 0 && l.clock.Now().Sub(l.lastUsed) > idleTimeout
}

// begin counts a call, which keeps the link open; the function it returns ends that.
func (l *link) begin() func() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.openCalls++
	l.lastUsed = l.clock.Now()
	return func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.openCalls--
	}
}

// calls returns how many calls are open.
func (l *link) calls() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.openCalls
}

// servedRecently reports whether the peer reported recently that the store serves it.
func (l *link) servedRecently(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.serving && now.Sub(l.lastHeard) < heartbeatInterval+heartbeatTimeout
}

// exchange makes one call over an open link. Sent reports whether the peer may have received
// it.
func (l *link) exchange(call *mfwire.Call, timeout time.Duration) (reply *mfwire.Reply, sent bool, err error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, false, trace.Wrap(err)
	}
	if _, err := protodelim.MarshalTo(stream, call); err != nil {
		return nil, true, trace.Wrap(err)
	}
	reply = &mfwire.Reply{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrame}).UnmarshalFrom(bufio.NewReader(stream), reply); err != nil {
		return nil, true, trace.Wrap(err)
	}
	l.mutex.Lock()
	l.lastHeard, l.serving = l.clock.Now(), reply.GetServing()
	l.mutex.Unlock()
	l.onStatus(reply.GetServing())
	return reply, true, nil
}
