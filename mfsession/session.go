// Package mfsession provides the yamux sessions between daemons, and ends them without
// busy-waiting.
package mfsession

import (
	"encoding/binary"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
)

// Session is a yamux session over a connection of its own.
//
// yamux first announces that a session ends, then waits for its receiving goroutine, and only
// then ends the streams. A blocked Stream.Read that sees the announcement polls without a pause
// until its stream has ended. Here the connection is closed first, so that the receiving
// goroutine is done by the announcement.
type Session struct {
	*yamux.Session

	connection *connection
}

// Client starts a session as the side that has dialled. It owns the connection from then on.
func Client(c net.Conn, config *yamux.Config) (*Session, error) {
	wrapped := newConnection(c)
	session, err := yamux.Client(wrapped, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Session{Session: session, connection: wrapped}, nil
}

// Server starts a session as the side that was dialled. It owns the connection from then on.
func Server(c net.Conn, config *yamux.Config) (*Session, error) {
	wrapped := newConnection(c)
	session, err := yamux.Server(wrapped, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Session{Session: session, connection: wrapped}, nil
}

// Close ends the session and its streams, and returns once they have ended.
func (s *Session) Close() error {
	// Closing a connection that is already closed is harmless.
	_ = s.connection.Conn.Close()
	<-s.CloseChan()
	return trace.Wrap(s.Session.Close())
}

// connection signals when its session has announced its end. It joins the header of a data frame
// and the body that follows it, which yamux writes separately: each write is a packet that wakes the
// other side.
type connection struct {
	net.Conn

	once          sync.Once
	sessionClosed chan struct{}
	// frame is the header that waits for its body. Only the session's sending goroutine writes.
	frame []byte
}

// The header of a yamux frame has its type in the second byte and the length of its body in the last
// four.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

// precedesBody reports whether data is a header that is followed by a body.
func precedesBody(data []byte) bool {
	return len(data) == headerSize && data[typeOffset] == typeData && binary.BigEndian.Uint32(data[lengthOffset:]) > 0
}

func newConnection(c net.Conn) *connection {
	return &connection{Conn: c, sessionClosed: make(chan struct{})}
}

// Write implements net.Conn. After an error it returns only once the receiving goroutine has
// ended the session; otherwise the sending goroutine would end it first.
func (c *connection) Write(data []byte) (int, error) {
	if len(c.frame) == 0 && precedesBody(data) {
		c.frame = append(c.frame, data...)
		return len(data), nil
	}
	c.frame = append(c.frame, data...)
	_, err := c.Conn.Write(c.frame)
	c.frame = c.frame[:0]
	if err != nil {
		_ = c.Conn.Close()
		<-c.sessionClosed
		return 0, err
	}
	return len(data), nil
}

// Close implements net.Conn; the session calls it as it ends.
func (c *connection) Close() error {
	c.once.Do(func() { close(c.sessionClosed) })
	return c.Conn.Close()
}
