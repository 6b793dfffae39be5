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

// connection counts the bytes written to an upstream and can be sealed against further writes.
// Together, the count and the seal prove that no byte of a request was or will be sent: the
// transport's write loop is another goroutine, and could otherwise send the request after its
// caller was told that it did not run. net/http of go1.26 happens to close the connection
// before RoundTrip returns an error; the seal does not depend on that.
type connection struct {
	net.Conn
	mutex   sync.Mutex
	written int64
	sealed  bool
}

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("connection is sealed")

// Write implements net.Conn. Bytes are counted before they are passed to the kernel, so that a
// write in progress is never missed.
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

// seal seals the connection if nothing was written since mark, and reports whether it did.
func (c *connection) seal(mark int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// connectionTracker records the connections that the transport picks for one attempt.
type connectionTracker struct {
	mutex sync.Mutex
	uses  []connectionUse
	// fresh is set if the last connection was opened for this request.
	fresh bool
	// decided is set by nothingSent; connections picked later are sealed and closed.
	decided bool
}

type connectionUse struct {
	connection *connection
	written    int64
}

// trace returns ctx with the hooks that report picked connections to t.
func (t *connectionTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.picked(info.Conn, !info.Reused) },
	})
}

func (t *connectionTracker) picked(n net.Conn, fresh bool) {
	c, ok := n.(*connection)
	if !ok {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.decided {
		c.seal(c.count())
		_ = c.Close()
		return
	}
	t.fresh = fresh
	t.uses = append(t.uses, connectionUse{connection: c, written: c.count()})
}

// nothingSent reports whether it is proven that no byte of the request has been or will be
// written: no connection was picked, or each one is sealed at the byte count it had when
// picked.
func (t *connectionTracker) nothingSent() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.decided = true
	proven := true
	for _, u := range t.uses {
		if u.connection.seal(u.written) {
			_ = u.connection.Close()
		} else {
			proven = false
		}
	}
	return proven
}

// idleTimeout is how long an idle connection to a runner is kept. Connections to runners of
// mostly idle customers should not be held for long.
const idleTimeout = 30 * time.Second

// Transports holds the transports to runners, one for each connection limit.
type Transports struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// MaxHeaderBytes bounds the header of a response.
	MaxHeaderBytes int64

	mutex      sync.Mutex
	transports map[int]*http.Transport
}

// get returns the transport that opens at most limit connections to a runner.
func (t *Transports) get(limit int) *http.Transport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if transport, ok := t.transports[limit]; ok {
		return transport
	}
	if t.transports == nil {
		t.transports = map[int]*http.Transport{}
	}
	dialer := &net.Dialer{Timeout: t.ConnectTimeout}
	transport := newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, network, address)
	})
	transport.MaxConnsPerHost = limit
	transport.MaxIdleConnsPerHost = limit
	transport.MaxResponseHeaderBytes = t.MaxHeaderBytes
	t.transports[limit] = transport
	return transport
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
