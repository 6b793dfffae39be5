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

// Times and bounds of a link.
const (
	// dialTimeout bounds the making of a connection: its caller waits.
	dialTimeout = 300 * time.Millisecond
	// heartbeatInterval is how often a peer is asked for a sign, beatWithin how long that may
	// take. Every call of the link ends with it if it does not come.
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
	// onStatus is told of each sign of the peer whether the store serves it.
	onStatus func(serving bool)

	// ready is closed once the connection is made or could not be.
	ready   chan struct{}
	session *mfsession.Session
	dialErr error
	// retire takes the link away if it is idle, and reports whether it was.
	retire func() bool

	mutex     sync.Mutex
	lastUsed  time.Time
	openCalls int
	lastHeard time.Time
	// serving is what the peer said last.
	serving bool
}

// run connects and keeps the link until it is idle, silent or ctx ends.
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
			return trace.Errorf("peer ended the connection")
		case <-l.clock.After(heartbeatInterval):
		}
		if l.retire() {
			return nil
		}
		if _, _, err := l.exchange(&mfwire.Call{}, heartbeatTimeout); err != nil {
			return trace.Wrap(err, "peer is silent")
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
	// Beats find out dead sessions sooner than yamux's own keep-alive.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = heartbeatTimeout
	return config
}

func (l *link) idle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.openCalls == 0 && l.clock.Now().Sub(l.lastUsed) > idleTimeout
}

// begin counts a call over the link, which keeps it open; the result ends that.
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

// calls returns how many calls the link has.
func (l *link) calls() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.openCalls
}

// servedRecently reports whether the peer said lately that the store serves it.
func (l *link) servedRecently(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.serving && now.Sub(l.lastHeard) < heartbeatInterval+heartbeatTimeout
}

// exchange makes one call over an open link. Sent reports whether the peer may have got it.
func (l *link) exchange(call *mfwire.Call, within time.Duration) (reply *mfwire.Reply, sent bool, err error) {
	stream, err := l.session.OpenStream()
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetDeadline(time.Now().Add(within)); err != nil {
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
