// Package mfsession holds the yamux sessions between daemons, and ends them without
// using the processor meanwhile.
package mfsession

import (
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
)

// Session is a yamux session over a connection of its own.
//
// yamux first announces that a session ends, then waits for its receiving goroutine, and only then ends
// the streams. A blocked Stream.Read that sees the announcement polls without a pause until its stream has
// ended. Here the connection ends first, so that the receiving goroutine is done by the announcement.
type Session struct {
	*yamux.Session

	connection *connection
}

// Client begins a session as the side that has dialled. It owns the connection from then on.
func Client(c net.Conn, config *yamux.Config) (*Session, error) {
	own := newConnection(c)
	session, err := yamux.Client(own, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Session{Session: session, connection: own}, nil
}

// Server begins a session as the side that was dialled. It owns the connection from then on.
func Server(c net.Conn, config *yamux.Config) (*Session, error) {
	own := newConnection(c)
	session, err := yamux.Server(own, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Session{Session: session, connection: own}, nil
}

// Close ends the session and its streams, and returns once they have ended.
func (s *Session) Close() error {
	// A connection that has ended already makes no difference.
	_ = s.connection.Conn.Close()
	<-s.CloseChan()
	return trace.Wrap(s.Session.Close())
}

// connection tells when its session has announced its end.
type connection struct {
	net.Conn

	once          sync.Once
	sessionClosed chan struct{}
}

func newConnection(c net.Conn) *connection {
	return &connection{Conn: c, sessionClosed: make(chan struct{})}
}

// Write implements net.Conn. After an error it returns only once the receiving goroutine has ended the
// session, which the sending one would otherwise do before it.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		_ = c.Conn.Close()
		<-c.sessionClosed
	}
	return n, err
}

// Close implements net.Conn; a session calls it as it ends.
func (c *connection) Close() error {
	c.once.Do(func() { close(c.sessionClosed) })
	return c.Conn.Close()
}
