// Package mftraffic counts the bytes on connections.
package mftraffic

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes sent and received on the connections that it wraps.
type Counter struct {
	Sent     atomic.Int64
	Received atomic.Int64
}

// Wrap returns a connection whose bytes are counted.
func (c *Counter) Wrap(connection net.Conn) net.Conn {
	return &countedConn{Conn: connection, counter: c}
}

// Dial opens a connection whose bytes are counted. It fits http.Transport's DialContext.
func (c *Counter) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return c.Wrap(connection), nil
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Sent.Add(int64(n))
	return n, err
}
