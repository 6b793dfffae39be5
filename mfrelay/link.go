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

// Times and bounds of a link.
const (
	// dialTimeout bounds the making of a connection; a round trip takes 3 ms.
	dialTimeout = 500 * time.Millisecond
	// heartbeatInterval is how often a relay is heard at least; silentAfter is after how long
	// of silence it is lost: three beats and some more.
	heartbeatInterval = 120 * time.Millisecond
	silenceTimeout    = 450 * time.Millisecond
	// orderBatchDelay is how long orders wait for others to go with them: those of one
	// commit come within it. gatherAnswers is the same for answers, of which a relay has
	// two hundred a second one by one: the owner decides no sooner anyway.
	orderBatchDelay  = time.Millisecond
	answerBatchDelay = 4 * time.Millisecond
	// maxFrame bounds one message, in bytes: the answers of 80 workers with 500 ends
	// each, at less than 200 bytes an end.
	maxFrame = 8 << 20
	// readBufferBytes is the buffer for reading: several hundred answers.
	readBufferBytes = 32 << 10
)

var (
	errNotNeeded    = errors.New("relay is no longer needed")
	errUnresponsive = errors.New("relay is silent")
)

// errLinkLost reports that a link ended before an order was answered.
type errLinkLost struct{ relay mothferry.DaemonID }

// Error implements error.
func (e *errLinkLost) Error() string { return fmt.Sprintf("relay %q was lost", e.relay) }

// pendingOrder is an order that has no answer yet.
type pendingOrder struct {
	worker mothferry.WorkerID
	// result gets the one answer.
	result   chan answer
	deadline time.Time
}

// link is the connection to one relay.
type link struct {
	host  mfrecord.Host
	clock mothferry.Clock
	// lastNeeded is when the relay was last chosen; the mutex of the owner's side guards it.
	lastNeeded time.Time

	mutex     sync.Mutex
	connected bool
	retired   bool
	leaving   bool
	// endErr is why the link has ended; nil while it has not.
	endErr     error
	unanswered int
	session    *mfsession.Session
	lastNumber uint64
	orders     []*mfwire.Order
	pending    map[uint64]pendingOrder
	lastHeard  time.Time
	// wake tells the writer that there are orders.
	wake chan struct{}
}

// usable reports whether orders may be given to the relay.
func (l *link) usable() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.connected && !l.retired && !l.leaving && l.endErr == nil
}

// retire gives the relay no more orders. It reports whether the link is of no use any
// more: all that it had is answered.
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

// run connects and passes orders on until the link ends. It returns why.
func (l *link) run(ctx context.Context, opened func()) error {
	stream, err := l.connect(ctx)
	if err != nil {
		l.close(err)
		return err
	}
	opened()
	go l.receive(stream)
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
	l.pending = map[uint64]pendingOrder{}
	l.wake = make(chan struct{}, 1)
	return stream, nil
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	// Beats find out dead sessions sooner than yamux's own keep-alive.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = silenceTimeout
	return config
}

// close ends the link for a reason; the first one counts. What has no answer ends as
// lost.
func (l *link) close(why error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.endErr != nil {
		return
	}
	if why == nil {
		why = errNotNeeded
	}
	l.endErr = why
	if l.session != nil {
		_ = l.session.Close()
		close(l.wake)
	}
	l.unanswered = len(l.pending)
	for number, w := range l.pending {
		w.result <- answer{err: &errLinkLost{relay: l.host.Daemon}}
		delete(l.pending, number)
	}
}

// unansweredOrders is how many orders had no answer when the link ended.
func (l *link) unansweredOrders() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unanswered
}

// send writes orders as they come, and beats in between, until the link ends.
func (l *link) send(ctx context.Context, stream net.Conn) {
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case _, open := <-l.wake:
			if !open {
				return
			}
			<-l.clock.After(orderBatchDelay)
		case <-beat.C:
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

// checkTimeouts ends what is overdue, and the link if nothing was heard for too long.
func (l *link) checkTimeouts() bool {
	l.mutex.Lock()
	now := l.clock.Now()
	silent := now.Sub(l.lastHeard) > silenceTimeout
	for number, w := range l.pending {
		if now.After(w.deadline) {
			w.result <- answer{err: &mothferry.ErrUnavailable{Operation: "order over " + string(l.host.Daemon), Err: context.DeadlineExceeded}}
			delete(l.pending, number)
		}
	}
	l.mutex.Unlock()
	if silent {
		l.close(errUnresponsive)
	}
	return !silent
}

func (l *link) writeBatch(stream net.Conn) error {
	l.mutex.Lock()
	batch := &mfwire.Batch{Orders: l.orders}
	l.orders = nil
	l.mutex.Unlock()
	if err := stream.SetWriteDeadline(time.Now().Add(silenceTimeout)); err != nil {
		return trace.Wrap(err)
	}
	_, err := protodelim.MarshalTo(stream, batch)
	return trace.Wrap(err)
}

// receive takes answers until the link ends.
func (l *link) receive(stream net.Conn) {
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	for {
		var outcomes mfwire.Outcomes
		if err := options.UnmarshalFrom(reader, &outcomes); err != nil {
			l.close(trace.Wrap(err))
			return
		}
		l.deliver(&outcomes)
	}
}

func (l *link) deliver(outcomes *mfwire.Outcomes) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastHeard = l.clock.Now()
	l.leaving = l.leaving || outcomes.GetLeaving()
	for _, o := range outcomes.GetOutcomes() {
		if w, ok := l.pending[o.GetNumber()]; ok {
			delete(l.pending, o.GetNumber())
			w.result <- decodeOutcome(w.worker, o)
		}
	}
}

// execute has the relay carry out an order and waits for its answer.
func (l *link) execute(ctx context.Context, order *mfwire.Order, within time.Duration) (mothferry.PollReport, error) {
	w := pendingOrder{worker: mothferry.WorkerID(order.GetWorker()), result: make(chan answer, 1), deadline: l.clock.Now().Add(within)}
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
		delete(l.pending, order.Number)
		l.mutex.Unlock()
		return mothferry.PollReport{}, &mothferry.ErrUnavailable{Operation: "order over " + string(l.host.Daemon), Err: ctx.Err()}
	}
}
