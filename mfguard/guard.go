// Package mfguard serves HTTP to clients that may not behave. What all connections hold together, in
// memory and in descriptors, stays within a budget; a client that holds a place without progress loses it.
package mfguard

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
)

// Limits bound what one client may send, and for how long it may hold a connection.
type Limits struct {
	HeaderBytes mothferry.Bytes
	BodyBytes   mothferry.Bytes
	// HeaderTimeout bounds the time from the first byte of a head to its end, and that of a new
	// connection until its first byte.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests.
	IdleTimeout time.Duration
}

// Default limits.
const (
	DefaultHeaderBytes   = 16 * mothferry.Kibibyte
	DefaultBodyBytes     = 256 * mothferry.Kibibyte
	DefaultHeaderTimeout = 3 * time.Second
	DefaultIdleTimeout   = 15 * time.Second
)

// OrDefault returns the limits, with the defaults for those that are not set.
func (l Limits) OrDefault() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = DefaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultIdleTimeout
	}
	return l
}

// bodyTimeout returns the longest time in which a body of a size has to arrive.
func (l Limits) bodyTimeout(size mothferry.Bytes) time.Duration {
	return l.HeaderTimeout + time.Duration(min(size, l.BodyBytes))*time.Second/time.Duration(minBodyRate)
}

// minBodyRate is the lowest rate at which a body may arrive, in bytes a second.
const minBodyRate = 64 * mothferry.Kibibyte

// Budget bounds what all connections of a server hold together.
type Budget struct {
	// Memory includes what the kernel holds received and unread.
	Memory mothferry.Bytes
	// Connections is the largest number of connections.
	Connections int
	// SentAhead is how many requests are served at a time that were sent before the answer to the one
	// before them. Clients that do so without end would otherwise keep the host busy.
	SentAhead int
}

// DefaultSentAhead is the default of Budget.SentAhead.
const DefaultSentAhead = 8

// NewBudget returns the budget of a server that may use an amount of memory and a number of
// descriptors. Connections without a request take at most half of the memory.
func NewBudget(memory mothferry.Bytes, descriptors int) Budget {
	return Budget{Memory: memory, Connections: max(1, min(descriptors, int(memory/2/idleBytes))), SentAhead: DefaultSentAhead}
}

// Server is an HTTP server with a budget. The exported fields are set before Listen.
type Server struct {
	// Name names the server in logs and metrics.
	Name    string
	Address string
	Handler http.Handler
	Budget  Budget
	// Limits returns the limits in force; they also apply to connections that are open.
	Limits  func() Limits
	Clock   mothferry.Clock
	Log     *log.Entry
	Metrics *Metrics

	pool   *pool
	server *http.Server
	stop   context.CancelFunc
	// done is closed once the server's goroutines have ended.
	done chan struct{}
}

// Listen starts to serve at the address, until Shutdown or Close.
func (s *Server) Listen() error {
	config := net.ListenConfig{Control: setReceiveBuffer}
	ctx, stop := context.WithCancel(context.Background())
	listener, err := config.Listen(ctx, "tcp", s.Address)
	if err != nil {
		stop()
		return trace.Wrap(err)
	}
	s.stop = stop
	boundBacklog(listener, s.Budget.Connections)
	s.pool = newPool(s.Budget, s.Clock)
	s.Metrics.watch(s.Name, s.pool)
	s.server = &http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connState, ConnContext: withConn,
		ErrorLog: stdlog.New(&errorWriter{log: s.Log.WithField("server", s.Name), clock: s.Clock}, "", 0),
	}
	s.done = make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { s.sweep(ctx) })
	group.Go(func() { _ = s.server.Serve(&guardedListener{Listener: listener, server: s}) })
	go func() {
		defer close(s.done)
		group.Wait()
	}()
	return nil
}

// maxHeaderBytes is the largest limit of a head that can be in force.
const maxHeaderBytes = http.DefaultMaxHeaderBytes

// Shutdown stops listening and waits for requests in flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	defer func() { <-s.done }()
	defer s.stop()
	return s.server.Shutdown(ctx)
}

// Close ends the server and all connections. It may be called without Listen.
func (s *Server) Close() {
	if s.server == nil {
		return
	}
	_ = s.server.Close()
	s.stop()
	<-s.done
}

// receiveBuffer is the size of a connection's receive buffer, of which a peer may fill as much while
// nothing is read.
const receiveBuffer = 8 * mothferry.Kibibyte

// setReceiveBuffer sets the receive buffer of the connections that a listening socket accepts.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A platform without such buffers has a bound of its own.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(receiveBuffer))
	})
}

// minBacklog lets a burst of connections to a server with few places wait to be accepted.
const minBacklog = 128

// boundBacklog bounds the connections that wait to be accepted. They are not in the pool yet, and each
// may fill its receive buffer.
func boundBacklog(listener net.Listener, connections int) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		// The bound that the listener was opened with remains if it can't be changed.
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), max(minBacklog, connections)) })
	}
}

// guardedListener accepts connections into the server's pool.
type guardedListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener. A connection for which there is no place is reset.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, server: l.server}
		if l.server.pool.admit(c) {
			return c, nil
		}
		c.reset()
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	guarded := c.(*conn)
	switch state {
	case http.StateIdle:
		begun := guarded.head.size > 0
		s.pool.requestEnded(guarded, begun || len(guarded.rest) > 0, begun)
	case http.StateClosed, http.StateHijacked:
		s.pool.remove(guarded)
	}
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*conn)
	switch {
	case r.ContentLength > 0:
		c.expectBody(r.ContentLength, s.limits().bodyTimeout(mothferry.Bytes(r.ContentLength)))
	case r.ContentLength < 0:
		c.expectBody(unknownLength, s.limits().bodyTimeout(s.limits().BodyBytes))
		// Without a length the connection can't tell where the next head begins.
		w.Header().Set("Connection", "close")
		if !s.pool.reserve(c, trailerBytes) {
			// The request may have been carried out when it was sent before, so it gets no refusal.
			c.reset()
			panic(http.ErrAbortHandler)
		}
	}
	s.Handler.ServeHTTP(w, r)
	if c.evicted.Load() {
		// The HTTP server then does not wait for the client to notice.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) limits() Limits { return s.Limits().OrDefault() }
