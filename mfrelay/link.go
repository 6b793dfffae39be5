package mfrelay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"mothferry"
	"mothferry/mfrecord"
	"mothferry/mfrelay/mfwire"
	"mothferry/mfsession"
)

const (
	// dialTimeout bounds the dialling of a connection; a round trip takes 3 ms.
	dialTimeout = 500 * time.Millisecond
	// heartbeatInterval is how often a relay is heard at least; silenceTimeout is after how
	// long without a message a relay is lost: three heartbeats and a margin.
	heartbeatInterval = 120 * time.Millisecond
	silenceTimeout    = 450 * time.Millisecond
	// orderBatchDelay is how long orders wait for others to be sent with them, answerBatchDelay the
	// same for answers. Messages cost the owner more than what is in them: with dozens of relays
	// each of them is a wake-up and a read or a write.
	orderBatchDelay  = 3 * time.Millisecond
	answerBatchDelay = 10 * time.Millisecond
	// maxFrame bounds one message, in bytes: the answers of 80 workers with 500 ended tasks
	// each, at less than 200 bytes a task.
	maxFrame = 8 << 20
	// readBufferBytes is the size of a read buffer: several hundred answers.
	readBufferBytes = 32 << 10
)

var (
	errNotNeeded    = errors.New("relay is no longer needed")
	errUnresponsive = errors.New("relay is unresponsive")
)

// errLinkLost reports that a link ended before an order was answered.
type errLinkLost struct {
	relay mothferry.DaemonID
	// written is set if the order was written to the relay, so that it may have been executed; sendBy
	// is until when the relay may send it to the worker.
	written bool
	sendBy  time.Time
}

// Error implements error.
func (e *errLinkLost) Error() string { return fmt.Sprintf("relay %q was lost", e.relay) }

// pendingOrder is an order that has no answer yet.
type pendingOrder struct {
	worker mothferry.WorkerID
	// result receives the one answer.
	result chan answer
	// sendBy is until when the relay may send it to the worker, deadline is until when its answer is
	// waited for.
	sendBy, deadline time.Time
	// written is set when it is written to the relay.
	written bool
}

// overdue returns the error of an order whose answer is no longer waited for.
func (w *pendingOrder) overdue(relay mothferry.DaemonID, cause error) error {
	if !w.written {
		return &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalUnhealthy}
	}
	return &mothferry.ErrUnavailable{Operation: "order via relay " + string(relay), Err: cause}
}

// link is the connection to one relay.
type link struct {
	host  mfrecord.Host
	clock mothferry.Clock
	// lastNeeded is when the relay was last chosen; the mutex of Relay guards it.
	lastNeeded time.Time

	mutex     sync.Mutex
	connected bool
	retired   bool
	leaving   bool
	// endErr is why the link has ended; nil while it is open.
	endErr     error
	unanswered int
	session    *mfsession.Session
	lastNumber uint64
	orders     []*mfwire.Order
	pending    map[uint64]*pendingOrder
	lastHeard  time.Time
	// heard is whether the relay has sent a message, heardClock its clock in the newest one.
	heard      bool
	heardClock int64
	// wake signals the writer that there are orders.
	wake chan struct{}
}

// usable reports whether orders may be given to the relay.
func (l *link) usable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.connected && l.heard && !l.retired && !l.leaving && l.endErr == nil
}

// retire stops giving orders to the relay. It reports whether all of its orders are answered,
// and closes the link in that case.
func (l *link) retire() bool {
	l.mutex.Lock()
	l.retired = true
	idle := len(l.pending) == 0
	l.mutex.Unlock()
	if idle {
		l.close(errNotNeeded)
	}
	return idle
}

// run connects and relays orders until the link ends. It returns why. Once the relay has sent its first
// message, opened is called: a connection alone may be that of a host which doesn't get to read from it.
func (l *link) run(ctx context.Context, opened func()) error {
	stream, err := l.connect(ctx)
	if err != nil {
		l.close(err)
		return err
	}
	go l.receive(stream, opened)
	l.send(ctx, stream)
	l.close(ctx.Err())
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.endErr
}

func (l *link) connect(ctx context.Context) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", l.host.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resetOnClose(connection)
	session, err := mfsession.Client(connection, sessionConfig())
	if err != nil {
		_ = connection.Close()
		return nil, trace.Wrap(err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, trace.Wrap(err)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.endErr != nil {
		_ = session.Close()
		return nil, l.endErr
	}
	l.session, l.connected, l.lastHeard = session, true, l.clock.Now()
	l.pending = map[uint64]*pendingOrder{}
	l.wake = make(chan struct{}, 1)
	return stream, nil
}

// resetOnClose makes closing a connection reset it. What was written to a link during a network
// partition would otherwise still arrive when the partition heals: orders that count as unknown by
// then, or those of a previous owner.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// It fails only on a connection that is already closed.
		_ = tcp.SetLinger(0)
	}
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	// Heartbeats detect dead sessions sooner than yamux's own keep-alive.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = silenceTimeout
	return config
}

// close ends the link for a reason; the first one counts. Orders without an answer end with
// errLinkLost.
func (l *link) close(reason error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.endErr != nil {
		return
	}
	if reason == nil {
		reason = errNotNeeded
	}
	l.endErr = reason
	if l.session != nil {
		_ = l.session.Close()
		close(l.wake)
	}
	l.orders = nil
	l.unanswered = len(l.pending)
	for number, w := range l.pending {
		w.result <- answer{err: &errLinkLost{relay: l.host.Daemon, written: w.written, sendBy: w.sendBy}}
		delete(l.pending, number)
	}
}

// unansweredOrders returns how many orders had no answer when the link ended.
func (l *link) unansweredOrders() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unanswered
}

// send writes orders as they come, and heartbeats in between, until the link ends.
func (l *link) send(ctx context.Context, stream net.Conn) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	if err := l.writeBatch(stream); err != nil {
		l.close(err)
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case _, open := <-l.wake:
			if !open {
				return
			}
			<-l.clock.After(orderBatchDelay)
		case <-heartbeat.C:
			if !l.checkTimeouts() {
				return
			}
		}
		if err := l.writeBatch(stream); err != nil {
			l.close(err)
			return
		}
	}
}

// checkTimeouts ends overdue orders, and the link if nothing was heard for silenceTimeout. It
// reports whether the link goes on.
func (l *link) checkTimeouts() bool {
	l.mutex.Lock()
	now := l.clock.Now()
	unresponsive := now.Sub(l.lastHeard) > silenceTimeout
	for number, w := range l.pending {
		if now.After(w.deadline) {
			w.result <- answer{err: w.overdue(l.host.Daemon, context.DeadlineExceeded)}
			delete(l.pending, number)
		}
	}
	l.mutex.Unlock()
	if unresponsive {
		l.close(errUnresponsive)
	}
	return !unresponsive
}

func (l *link) writeBatch(stream net.Conn) error {
	batch := l.takeBatch()
	if err := stream.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return trace.Wrap(err)
	}
	_, err := protodelim.MarshalTo(stream, batch)
	return trace.Wrap(err)
}

// takeBatch returns the orders to write. Those that nobody waits for any more are dropped; those
// that the relay may no longer send are refused.
func (l *link) takeBatch() *mfwire.Batch {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.clock.Now()
	batch := &mfwire.Batch{HeardClockNs: l.heardClock}
	for _, o := range l.orders {
		w, waited := l.pending[o.GetNumber()]
		if !waited {
			continue
		}
		left := w.sendBy.Sub(now)
		if left <= 0 {
			w.result <- answer{err: w.overdue(l.host.Daemon, context.DeadlineExceeded)}
			delete(l.pending, o.GetNumber())
			continue
		}
		w.written = true
		o.SendWithinNs = int64(left)
		batch.Orders = append(batch.Orders, o)
	}
	l.orders = nil
	return batch
}

// receive reads answers until the link ends. It calls opened after the first message.
func (l *link) receive(stream net.Conn, opened func()) {
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	for {
		var outcomes mfwire.Outcomes
		if err := options.UnmarshalFrom(reader, &outcomes); err != nil {
			l.close(trace.Wrap(err))
			return
		}
		if l.deliver(&outcomes) {
			opened()
		}
	}
}

// deliver handles a message of the relay. It reports whether it is the first one.
func (l *link) deliver(outcomes *mfwire.Outcomes) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := !l.heard
	l.heard, l.heardClock = true, max(l.heardClock, outcomes.GetClockNs())
	l.lastHeard = l.clock.Now()
	l.leaving = l.leaving || outcomes.GetLeaving()
	for _, o := range outcomes.GetOutcomes() {
		if w, ok := l.pending[o.GetNumber()]; ok {
			delete(l.pending, o.GetNumber())
			w.result <- decodeOutcome(w.worker, o)
		}
	}
	return first
}

// execute has the relay execute an order and waits for its answer. The relay may send it to the worker
// within orderTimeout; its answer is waited for until wait and answerMargin later.
func (l *link) execute(ctx context.Context, order *mfwire.Order, orderTimeout, wait time.Duration) (mothferry.PollReport, error) {
	sendBy := l.clock.Now().Add(orderTimeout)
	w := &pendingOrder{worker: mothferry.WorkerID(order.GetWorker()), result: make(chan answer, 1), sendBy: sendBy, deadline: sendBy.Add(wait + answerMargin)}
	l.mutex.Lock()
	if l.endErr != nil {
		l.mutex.Unlock()
		return mothferry.PollReport{}, &errLinkLost{relay: l.host.Daemon}
	}
	l.lastNumber++
	order.Number = l.lastNumber
	l.pending[order.Number] = w
	l.orders = append(l.orders, order)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	l.mutex.Unlock()
	select {
	case a := <-w.result:
		return a.report, a.err
	case <-ctx.Done():
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.pending, order.Number)
		return mothferry.PollReport{}, w.overdue(l.host.Daemon, ctx.Err())
	}
}
