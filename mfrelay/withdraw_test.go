package mfrelay_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfrecord"
	"mothferry/mfrelay"
	"mothferry/mfrelay/mfwire"
	"mothferry/mfsession"
)

// heldWorkers stands for workers whose turn to get a start doesn't come: a start waits until its
// context ends, and is then refused as not executed.
type heldWorkers struct {
	fakeWorkers
	waiting, withdrawn chan struct{}
}

func newHeldWorkers() *heldWorkers {
	return &heldWorkers{waiting: make(chan struct{}, 100), withdrawn: make(chan struct{}, 100)}
}

func (w *heldWorkers) Start(ctx context.Context, _ mothferry.WorkerAddress, _ mothferry.StartOrder) (mothferry.WorkerClock, error) {
	w.waiting <- struct{}{}
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Second):
		return 0, errors.New("start is still wanted after 10 s")
	}
	w.withdrawn <- struct{}{}
	return 0, &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalUnhealthy}
}

func within(t *testing.T, limit time.Duration, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(limit):
		t.Fatalf("not within %v: %s", limit, what)
	}
}

// Guards against a start that is sent to a worker after the owner's session at its relay has ended, when
// the owner counts it as unknown or has lost the shard.
func TestOrderEndsWithItsOwnersSession(t *testing.T) {
	f := newFleet()
	f.relay.OrderTimeout = 5 * time.Second
	remote := newHeldWorkers()
	f.addHost(t, "r-1", remote)
	end := f.start(t)
	eventually(t, "orders are relayed", func() bool { return f.firstRelayed(10) })
	result := make(chan error, 1)
	go func() {
		_, err := f.relay.Start(context.Background(), worker(1), mothferry.StartOrder{})
		result <- err
	}()
	within(t, 5*time.Second, "start waits at the relay", remote.waiting)
	end()
	assertUnknown(t, <-result)
	within(t, 5*time.Second, "start is withdrawn", remote.withdrawn)
}

// Guards against a start that is sent after a stop of its run, as the link that it was sent by has been
// replaced and the stop takes the new one.
func TestReplacedLinkEndsItsOrders(t *testing.T) {
	f := newFleet()
	f.relay.OrderTimeout = 5 * time.Second
	remote := newHeldWorkers()
	f.addHost(t, "r-1", remote)
	f.start(t)
	eventually(t, "orders are relayed", func() bool { return f.firstRelayed(10) })
	result := make(chan error, 1)
	go func() {
		_, err := f.relay.Start(context.Background(), worker(1), mothferry.StartOrder{Run: 1})
		result <- err
	}()
	within(t, 5*time.Second, "start waits at the relay", remote.waiting)
	f.hosts[0].Cores++
	f.relay.SetHosts(f.hosts)
	within(t, 5*time.Second, "start is withdrawn", remote.withdrawn)
	eventually(t, "the stop is relayed", func() bool {
		before := remote.callCount()
		_, err := f.relay.Stop(context.Background(), worker(1), mothferry.TaskName{}, 1, 1)
		return err == nil && remote.callCount() > before
	})
	assertUnknown(t, <-result)
}

// Guards against a start that waits at its relay for longer than its owner waits for an answer and is
// sent then: it is refused before its owner gives up on it.
func TestOrderIsNotSentAfterItsOwnerGaveUp(t *testing.T) {
	f := newFleet()
	remote := newHeldWorkers()
	f.addHost(t, "r-1", remote)
	f.start(t)
	eventually(t, "orders are relayed", func() bool { return f.firstRelayed(10) })
	_, err := f.relay.Start(context.Background(), worker(1), mothferry.StartOrder{})
	within(t, 5*time.Second, "start is withdrawn", remote.withdrawn)
	var refused *mothferry.ErrOrderRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
}

// Guards against a start that is carried out although its owner gave up on it before it was written to
// the relay.
func TestOrderGivenUpBeforeItIsWrittenIsNotSent(t *testing.T) {
	f := newFleet()
	remote := &fakeWorkers{}
	f.addHost(t, "r-1", remote)
	f.start(t)
	eventually(t, "orders are relayed", func() bool { return f.firstRelayed(10) })
	before := remote.callCount()
	ctx, giveUp := context.WithCancel(context.Background())
	giveUp()
	const starts = 20
	refusals := 0
	for range starts {
		_, err := f.relay.Start(ctx, worker(1), mothferry.StartOrder{})
		var refused *mothferry.ErrOrderRefused
		if errors.As(err, &refused) {
			refusals++
		}
	}
	assert.Assert(t, refusals > 0)
	assert.NilError(t, f.look(1))
	executed := remote.callCount() - before - 1
	assert.Assert(t, executed <= starts-refusals, "%d of %d starts were executed, %d count as not executed", executed, starts, refusals)
}

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

// stuckRelay accepts sessions, sends one message on each and reads nothing.
func stuckRelay(t *testing.T, f *fleet) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			session, err := mfsession.Server(c, quietConfig())
			if err != nil {
				return
			}
			if stream, err := session.AcceptStream(); err == nil {
				_, _ = protodelim.MarshalTo(stream, &mfwire.Outcomes{ClockNs: 1})
			}
		}
	}()
	f.hosts = append(f.hosts, mfrecord.Host{Daemon: "r-stuck", DataCentre: "dc", Address: listener.Addr().String(), Cores: 800})
	f.relay.SetHosts(f.hosts)
}

func quietConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	return config
}

// Guards against a start that counts as unknown, so that its task waits, although it was never written:
// it goes another way when its relay is lost, and is executed once.
func TestUnwrittenOrderGoesAnotherWay(t *testing.T) {
	f := newFleet()
	f.relay.OrderTimeout = 2 * time.Second
	stuckRelay(t, f)
	f.start(t)
	// A message that is longer than all buffers on its way blocks the ones after it.
	long := strings.Repeat("x", 16<<20)
	written := make(chan error, 1)
	eventually(t, "a start is sent via the relay", func() bool {
		before := f.direct.callCount()
		go func() {
			_, err := f.relay.Start(context.Background(), worker(1), mothferry.StartOrder{Spec: long})
			written <- err
		}()
		time.Sleep(50 * time.Millisecond)
		if f.direct.callCount() == before {
			return true
		}
		<-written
		return false
	})
	before := f.direct.callCount()
	_, err := f.relay.Start(context.Background(), worker(2), mothferry.StartOrder{})
	assert.NilError(t, err)
	assertUnknown(t, <-written)
	assert.Equal(t, f.direct.callCount(), before+1)
}

// suspendedClock is the system's clock with a time of day that can be set forward, as after a suspension.
type suspendedClock struct {
	mfclock.System
	ahead atomic.Int64
}

// Now implements mothferry.Clock. The times have no monotonic part.
func (c *suspendedClock) Now() time.Time {
	return time.Now().Round(0).Add(time.Duration(c.ahead.Load()))
}

// Guards against a start that a relay carries out long after it was written: the relay was suspended, or the
// network held the message, and the owner may have ended the session since.
func TestOrdersReadAfterSuspensionAreNotSent(t *testing.T) {
	clock := &suspendedClock{}
	remote := newHeldWorkers()
	server := &mfrelay.Server{Address: freeAddress(t), Workers: remote, Clock: clock, Log: discardLog()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Run(ctx) }()
	for range 20 {
		var connection net.Conn
		eventually(t, "relay accepts connections", func() bool {
			var err error
			connection, err = net.Dial("tcp", server.Address)
			return err == nil
		})
		session, err := mfsession.Client(connection, quietConfig())
		assert.NilError(t, err)
		stream, err := session.OpenStream()
		assert.NilError(t, err)
		_, err = protodelim.MarshalTo(stream, &mfwire.Batch{})
		assert.NilError(t, err)
		var answer mfwire.Outcomes
		assert.NilError(t, protodelim.UnmarshalFrom(bufio.NewReader(stream), &answer))
		clock.ahead.Add(int64(time.Second))
		start := &mfwire.Order{Number: 1, Worker: "w", SendWithinNs: int64(900 * time.Millisecond), Kind: &mfwire.Order_Start{Start: &mfwire.Start{}}}
		_, err = protodelim.MarshalTo(stream, &mfwire.Batch{HeardClockNs: answer.GetClockNs(), Orders: []*mfwire.Order{start}})
		assert.NilError(t, err)
		assert.NilError(t, session.Close())
	}
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(remote.waiting), 0)
}

// Guards against a task that starts elsewhere while its start may still be sent: the owner has lost the relay
// that has the start, and the worker has answered a stop meanwhile. The start counts as unknown only once
// the relay would no longer send it.
func TestStartAtLostRelayEndsWhenItCanNoLongerBeSent(t *testing.T) {
	f := newFleet()
	f.relay.OrderTimeout = 2 * time.Second
	remote := newHeldWorkers()
	_, kill := f.addHost(t, "r-1", remote)
	f.start(t)
	eventually(t, "orders are relayed", func() bool { return f.firstRelayed(10) })
	result := make(chan error, 1)
	sent := time.Now()
	go func() {
		_, err := f.relay.Start(context.Background(), worker(1), mothferry.StartOrder{})
		result <- err
	}()
	within(t, 5*time.Second, "start waits at the relay", remote.waiting)
	kill()
	assertUnknown(t, <-result)
	assert.Assert(t, time.Since(sent) >= f.relay.OrderTimeout, "%v", time.Since(sent))
}

// Guards against starts that wait in the kernel of a host that accepts connections and reads nothing: a relay
// gets orders only once it has sent a message.
func TestRelayGetsOrdersOnceItHasAnswered(t *testing.T) {
	f := newFleet()
	accepted := silentRelay(t, f)
	f.start(t)
	<-accepted
	for i := range 100 {
		_, err := f.relay.Start(context.Background(), worker(i), mothferry.StartOrder{})
		assert.NilError(t, err)
		time.Sleep(5 * time.Millisecond)
	}
}
