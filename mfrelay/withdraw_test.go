package mfrelay_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mfrecord"
)

// silentRelay accepts connections and reads nothing.
func silentRelay(t *testing.T, f *fleet) <-chan net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			accepted <- c
		}
	}()
	f.hosts = append(f.hosts, mfrecord.Host{Daemon: "r-silent", DataCentre: "dc", Address: listener.Addr().String(), Cores: 800})
	f.relay.SetHosts(f.hosts)
	return accepted
}

// Guards against a start that a relay carries out after a network partition, when its owner has lost the
// relay and the task may run elsewhere: what was written to a lost relay must not be delivered later.
func TestLostLinkDeliversNothingLater(t *testing.T) {
	f := newFleet()
	accepted := silentRelay(t, f)
	f.start(t)
	c := <-accepted
	eventually(t, "relay is lost", func() bool {
		before := f.direct.callCount()
		return f.look(1) == nil && f.direct.callCount() > before
	})
	time.Sleep(100 * time.Millisecond)
	// Data that the kernel received before the reset can be read; the reset follows.
	_, err := io.ReadAll(c)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
