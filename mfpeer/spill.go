package mfpeer

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"mothferry"
	"mothferry/mfpeer/mfwire"
)

// hopsKey is the context key of a spilled request's hop count.
type hopsKey struct{}

// Hops returns how many peers a request has passed; 0 for a caller's own.
func Hops(ctx context.Context) int {
	hops, _ := ctx.Value(hopsKey{}).(int)
	return hops
}

// DialSpill opens a stream to a peer that carries one HTTP exchange. An error
// means that nothing of a request can have reached the peer.
func (m *Mesh) DialSpill(ctx context.Context, peer mothferry.DaemonID, hops int) (net.Conn, error) {
	session, err := m.session(peer)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	call := &mfwire.Call{Kind: &mfwire.Call_Spill{Spill: &mfwire.Spill{Hops: uint32(hops)}}}
	if err := m.send(stream, call); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// spillServer serves HTTP on the streams that peers hand over.
func (m *Mesh) spillServer() *http.Server {
	return &http.Server{
		Handler:           m.Spill,
		ReadHeaderTimeout: spillHandshakeTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			spill, _ := c.(*spillConnection)
			return context.WithValue(ctx, hopsKey{}, spill.hops)
		},
	}
}

// spillConnection is a stream whose first message has been read.
type spillConnection struct {
	*yamux.Stream
	reader *bufio.Reader
	hops   int
}

// Read implements net.Conn, beginning with what was read ahead.
func (c *spillConnection) Read(p []byte) (int, error) {
	return c.reader.Read(p)
}

// spillListener hands streams to an http.Server.
type spillListener struct {
	streams chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newSpillListener() *spillListener {
	return &spillListener{streams: make(chan net.Conn), done: make(chan struct{})}
}

func (l *spillListener) offer(ctx context.Context, c net.Conn) {
	select {
	case l.streams <- c:
	case <-l.done:
		_ = c.Close()
	case <-ctx.Done():
		_ = c.Close()
	case <-time.After(spillHandshakeTimeout):
		_ = c.Close()
	}
}

// Accept implements net.Listener.
func (l *spillListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.streams:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *spillListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *spillListener) Addr() net.Addr {
	return &net.TCPAddr{}
}
