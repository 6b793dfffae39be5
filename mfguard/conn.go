package mfguard

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"mothferry"
)

// unknownLength is the rest of a body whose length is not known.
const unknownLength = -1

// conn is a connection with a place in a server's pool. The HTTP server reads heads through it, which it
// passes on as far as the pool has room for what they are parsed into.
type conn struct {
	net.Conn

	server *Server
	// holding is guarded by the pool's mutex.
	holding
	// evicted is set once the pool has ended the connection.
	evicted atomic.Bool
	// writingSince is when the write under way has begun, as a time since the pool began; 0 without one.
	writingSince atomic.Int64

	// The rest is used by the goroutine that reads.
	head headScanner
	// failed is the error for which nothing is read any more. The HTTP server may read again after it.
	failed error
	// bodyLeft is how much of the request's body is not read yet, or unknownLength. The body has to
	// arrive within bodyTimeout of its first read, and before bodyDeadline unless that is zero.
	bodyLeft     int64
	bodyTimeout  time.Duration
	bodyDeadline time.Time
	readsBody    bool
	// rest was received with the end of a head and is not read yet.
	rest []byte
}

// Errors for which a connection is not read any further.
var (
	errHeadTooLarge = errors.New("head is larger than the limit")
	errNoRoom       = errors.New("no room for the request")
)

// headTooLarge is the reply to a head that is larger than the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	if c.bodyLeft != 0 {
		return c.readBody(p)
	}
	n, err := c.receive(p)
	if n == 0 {
		return n, err
	}
	n, headErr := c.readHead(p[:n])
	if headErr != nil {
		// The HTTP server closes a connection that can't be read without a reply.
		c.failed = &net.OpError{Op: "read", Net: "tcp", Source: c.RemoteAddr(), Addr: c.LocalAddr(), Err: headErr}
		return 0, c.failed
	}
	return n, err
}

// expectBody prepares for a body of a length, or of unknownLength.
func (c *conn) expectBody(length int64, timeout time.Duration) {
	c.bodyLeft, c.bodyTimeout, c.bodyDeadline, c.readsBody = length, timeout, time.Time{}, false
}

// readBody reads a part of a body, and no byte of what follows if its length is known.
func (c *conn) readBody(p []byte) (int, error) {
	if !c.readsBody {
		c.readsBody = true
		c.server.pool.bodyStarted(c, c.bodyTimeout, c.bodyDeadline)
	}
	if c.bodyLeft == unknownLength {
		return c.receive(p)
	}
	n, err := c.receive(p[:min(int64(len(p)), c.bodyLeft)])
	c.bodyLeft -= int64(n)
	if c.bodyLeft == 0 {
		c.server.pool.bodyEnded(c)
	}
	return n, err
}

// receive reads what was received with a head, or from the peer.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// readHead returns how many of the bytes received belong to the head, and keeps the rest.
func (c *conn) readHead(data []byte) (int, error) {
	first := c.head.size == 0
	n, lines, ended := c.head.scan(data)
	if limit := min(c.server.limits().HeaderBytes, maxHeaderBytes); c.head.size > limit {
		c.server.Metrics.count(c.server.Name, endHeadTooLarge)
		c.replyHeadTooLarge()
		return 0, errHeadTooLarge
	}
	size := heldBytes(n, lines)
	if first {
		size += requestBytes
	}
	if !c.server.pool.headReceived(c, size, ended) {
		return 0, errNoRoom
	}
	if ended {
		c.head = headScanner{}
	}
	if n < len(data) {
		c.rest = append(append(make([]byte, 0, len(data)-n+len(c.rest)), data[n:]...), c.rest...)
	}
	return n, nil
}

// replyHeadTooLarge replies that a head is too large. It reads a little of what follows, as a
// connection that is closed with unread bytes is reset, and the reply may be lost.
func (c *conn) replyHeadTooLarge() {
	if _, err := c.Write([]byte(headTooLarge)); err != nil || c.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(c.server.Clock.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, int64(lingerBytes))
	}
}

// Bounds of what is read after a reply to a head that is too large.
const (
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 64 * mothferry.Kibibyte
)

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(c.server.pool.elapsed()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite lets the HTTP server end a connection so that the peer can still read the reply.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// end ends the connection, so that the peer sees the end of what it was sent.
func (c *conn) end() { _ = c.Conn.Close() }

// reset ends the connection and discards what is neither read nor sent.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
