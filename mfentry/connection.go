package mfentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// connection counts what was written to an upstream, and can be sealed
// against further writes. Both together prove that no byte of a request was
// sent, and that none will be: the transport's write loop is another goroutine
// and could otherwise send the request after its caller was told that it did
// not run. net/http of go1.26 happens to close the connection before its
// RoundTrip returns an error; the seal does not depend on that.
type connection struct {
	net.Conn
	mutex   sync.Mutex
	written int64
	sealed  bool
}

// errSealed is what a write after the seal gets.
var errSealed = errors.New("connection is sealed")

// Write implements net.Conn. Bytes count as written before they are handed
// to the kernel, so that a write under way is never missed.
func (c *connection) Write(p []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(p))
	c.mutex.Unlock()
	return c.Conn.Write(p)
}

// count returns the bytes written so far.
func (c *connection) count() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// seal seals the connection if nothing was written since the mark and
// reports whether that is so.
func (c *connection) seal(mark int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// connectionTracker collects, for one attempt, the connections the transport picked.
type connectionTracker struct {
	mutex sync.Mutex
	uses  []connectionUse
	// fresh tells that the last connection was opened for this request.
	fresh bool
	// decided refuses connections that the transport picks after the verdict.
	decided bool
}

type connectionUse struct {
	connection *connection
	written    int64
}

// trace returns ctx with the hooks that feed e.
func (e *connectionTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { e.picked(info.Conn, !info.Reused) },
	})
}

func (e *connectionTracker) picked(n net.Conn, fresh bool) {
	c, ok := n.(*connection)
	if !ok {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.decided {
		c.seal(c.count())
		_ = c.Close()
		return
	}
	e.fresh = fresh
	e.uses = append(e.uses, connectionUse{connection: c, written: c.count()})
}

// nothingSent proves, if it returns true, that no byte of the request has
// been or will be written: no connection was picked, or each that was is
// sealed at the count it had when it was picked.
func (e *connectionTracker) nothingSent() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.decided = true
	proven := true
	for _, m := range e.uses {
		if m.connection.seal(m.written) {
			_ = m.connection.Close()
		} else {
			proven = false
		}
	}
	return proven
}

// idleTimeout is how long an unused connection to a runner is kept. Runners
// of mostly idle customers should not hold connections for long.
const idleTimeout = 30 * time.Second

// Transports makes the transports to runners, one for each limit of connections.
type Transports struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// MaxHeaderBytes bounds the header of an answer.
	MaxHeaderBytes int64

	mutex      sync.Mutex
	transports map[int]*http.Transport
}

// get returns the transport that opens at most limit connections to a runner.
func (t *Transports) get(limit int) *http.Transport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if k, ok := t.transports[limit]; ok {
		return k
	}
	if t.transports == nil {
		t.transports = map[int]*http.Transport{}
	}
	dialer := &net.Dialer{Timeout: t.ConnectTimeout}
	k := newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	})
	k.MaxConnsPerHost = limit
	k.MaxIdleConnsPerHost = limit
	k.MaxResponseHeaderBytes = t.MaxHeaderBytes
	t.transports[limit] = k
	return k
}

// newTransport returns a transport whose connections count their writes.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: c}, nil
		},
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
	}
}
