package mfrelay

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"mothferry"
	"mothferry/mfrelay/mfwire"
	"mothferry/mfsession"
)

// maxOpenOrders bounds the concurrent orders of one owner: 80 workers with a poll and some
// twenty starts each. Orders beyond it are refused as not executed.
const maxOpenOrders = 2000

// ownerSilenceTimeout is after how long without a message an owner's session is closed. An
// owner sends one each heartbeatInterval; one that lost its power or was partitioned closes
// nothing, and its session would be kept for as long as this host runs.
const ownerSilenceTimeout = 10 * time.Second

// Server relays an owner's orders to workers. The exported fields are set before Run.
type Server struct {
	Address string
	Workers mothferry.TaskWorkers
	Clock   mothferry.Clock
	Log     *log.Entry

	mutex    sync.Mutex
	sessions map[*ownerSession]struct{}
	leaving  bool
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.closeAll()
	})
	defer stop()
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return trace.Wrap(err)
		}
		session, err := mfsession.Server(connection, sessionConfig())
		if err != nil {
			_ = connection.Close()
			continue
		}
		go s.serve(ctx, session)
	}
}

// Leave reports to owners that this host is about to stop. What it has is still answered.
func (s *Server) Leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = true
	for v := range s.sessions {
		v.wakeUp()
	}
}

func (s *Server) isLeaving() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for v := range s.sessions {
		_ = v.session.Close()
	}
}

// ownerSession is one owner's session.
type ownerSession struct {
	server *Server
	// began is when the clock started that the owner is told.
	began   time.Time
	session *mfsession.Session
	wake    chan struct{}
	done    chan struct{}

	mutex      sync.Mutex
	outcomes   []*mfwire.Outcome
	openOrders int
	activity   sessionActivity
}

// activityInterval is how often a relay logs its activity for an owner while it has orders.
const activityInterval = time.Second

// sessionActivity counts what a relay did for an owner since its last summary.
type sessionActivity struct {
	since    time.Time
	orders   int
	maxOpen  int
	maxDelay time.Duration
	messages int
}

func (s *Server) serve(ctx context.Context, session *mfsession.Session) {
	v := &ownerSession{server: s, began: s.Clock.Now(), session: session, wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.mutex.Lock()
	if s.sessions == nil {
		s.sessions = map[*ownerSession]struct{}{}
	}
	s.sessions[v] = struct{}{}
	s.mutex.Unlock()
	address := session.RemoteAddr().String()
	s.Log.WithField("owner", address).Info("owner connected")
	err := v.run(ctx)
	close(v.done)
	_ = session.Close()
	s.mutex.Lock()
	delete(s.sessions, v)
	s.mutex.Unlock()
	s.Log.WithError(err).WithField("owner", address).Info("owner disconnected")
}

// run executes orders until the session ends. Orders that are not yet sent to their workers by then
// end unsent: their owner counts them as unknown, or has lost the shard.
func (v *ownerSession) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := v.session.AcceptStream()
	if err != nil {
		return trace.Wrap(err)
	}
	go v.send(stream)
	reader := bufio.NewReaderSize(stream, readBufferBytes)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	for {
		var batch mfwire.Batch
		if err := stream.SetReadDeadline(time.Now().Add(ownerSilenceTimeout)); err != nil {
			return trace.Wrap(err)
		}
		if err := options.UnmarshalFrom(reader, &batch); err != nil {
			return trace.Wrap(err)
		}
		if len(batch.GetOrders()) == 0 {
			v.wakeUp()
		}
		written := v.writtenAfter(&batch)
		for _, o := range batch.GetOrders() {
			if !v.begin() {
				v.answer(encodeOutcome(o.GetNumber(), 0, &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalUnhealthy}))
				continue
			}
			go v.execute(ctx, o, written)
		}
	}
}

// writtenAfter returns a time after which the owner wrote a batch, by the clock that it was told.
//
// A batch may have waited long before it was read: this host was suspended or short of processor time, or
// the network held it. Counted from its receipt, orders would be carried out that their owner had given up
// on by then. An owner that tells no clock is of an older version.
func (v *ownerSession) writtenAfter(batch *mfwire.Batch) time.Time {
	if batch.GetHeardClockNs() <= 0 {
		return v.server.Clock.Now()
	}
	return v.began.Add(time.Duration(batch.GetHeardClockNs()))
}

// clock returns the time since the session began; it is never zero.
func (v *ownerSession) clock() time.Duration {
	return max(1, v.server.Clock.Now().Sub(v.began))
}

// begin counts an order to execute, unless there are too many.
func (v *ownerSession) begin() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.openOrders >= maxOpenOrders {
		return false
	}
	v.openOrders++
	v.activity.orders++
	v.activity.maxOpen = max(v.activity.maxOpen, v.openOrders)
	return true
}

// execute sends one order to its worker and queues the answer. The owner wrote the order after a time.
func (v *ownerSession) execute(ctx context.Context, o *mfwire.Order, written time.Time) {
	if within := time.Duration(o.GetSendWithinNs()); within > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, written.Add(within).Sub(v.server.Clock.Now()))
		defer cancel()
	}
	if ctx.Err() != nil {
		v.end(encodeOutcome(o.GetNumber(), 0, &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalUnhealthy}))
		return
	}
	workers, at, epoch := v.server.Workers, addressOf(o), mothferry.Epoch(o.GetEpoch())
	var clock mothferry.WorkerClock
	var report *mfwire.Report
	err := error(&mothferry.ErrOrderRefused{Refusal: mothferry.RefusalMalformed})
	switch k := o.GetKind().(type) {
	case *mfwire.Order_Start:
		clock, err = workers.Start(ctx, at, decodeStart(o, k.Start))
	case *mfwire.Order_Stop:
		clock, err = workers.Stop(ctx, at, decodeTask(k.Stop.GetTask()), mothferry.RunNumber(k.Stop.GetRun()), epoch)
	case *mfwire.Order_Pace:
		clock, err = workers.Pace(ctx, at, decodeTask(k.Pace.GetTask()), mothferry.RunNumber(k.Pace.GetRun()), int(k.Pace.GetPercent()), epoch)
	case *mfwire.Order_Look:
		var polled mothferry.PollReport
		polled, err = workers.Poll(ctx, at, decodeLook(o, k.Look))
		clock, report = polled.Clock, encodeReport(polled)
	}
	outcome := encodeOutcome(o.GetNumber(), clock, err)
	if err == nil {
		outcome.Report = report
	}
	v.end(outcome)
}

// end queues the answer to an order that was begun.
func (v *ownerSession) end(o *mfwire.Outcome) {
	v.mutex.Lock()
	v.openOrders--
	v.mutex.Unlock()
	v.answer(o)
}

func (v *ownerSession) answer(o *mfwire.Outcome) {
	v.mutex.Lock()
	v.outcomes = append(v.outcomes, o)
	v.mutex.Unlock()
	v.wakeUp()
}

func (v *ownerSession) wakeUp() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// recordDelay records how late a timer fired, as it does on a host that is short of processor time.
func (v *ownerSession) recordDelay(late time.Duration) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.activity.maxDelay = max(v.activity.maxDelay, late)
}

// logActivity logs the summary when it is due, unless there were no orders.
func (v *ownerSession) logActivity() {
	now := v.server.Clock.Now()
	v.mutex.Lock()
	a, open := v.activity, v.openOrders
	due := now.Sub(a.since) >= activityInterval
	if due {
		v.activity = sessionActivity{since: now}
	}
	v.mutex.Unlock()
	if !due || a.orders == 0 || a.since.IsZero() {
		return
	}
	v.server.Log.WithFields(log.Fields{
		"ms": now.Sub(a.since).Milliseconds(), "orders": a.orders, "open": open, "most_open": a.maxOpen,
		"messages": a.messages, "longest_delay_ms": a.maxDelay.Milliseconds(),
	}).Info("relay activity")
}

// send writes answers as they come. Each wake-up sends a message, so that a heartbeat is
// answered even if there are no outcomes.
func (v *ownerSession) send(stream net.Conn) {
	for {
		select {
		case <-v.done:
			return
		case <-v.wake:
		}
		woken := v.server.Clock.Now()
		<-v.server.Clock.After(answerBatchDelay)
		v.recordDelay(v.server.Clock.Now().Sub(woken) - answerBatchDelay)
		v.mutex.Lock()
		message := &mfwire.Outcomes{Outcomes: v.outcomes, Leaving: v.server.isLeaving(), ClockNs: int64(v.clock())}
		v.outcomes = nil
		v.activity.messages++
		v.mutex.Unlock()
		v.logActivity()
		_ = stream.SetWriteDeadline(time.Now().Add(silenceTimeout))
		if _, err := protodelim.MarshalTo(stream, message); err != nil {
			v.server.Log.WithError(err).Info("write answers to owner failed")
			_ = v.session.Close()
			return
		}
	}
}
