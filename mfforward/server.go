package mfforward

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protodelim"

	"mothferry"
	"mothferry/mfforward/mfwire"
	"mothferry/mfintake"
	"mothferry/mfqueue"
	"mothferry/mfsession"
)

// Bounds of what a peer carries out for others.
const (
	// maxServedCalls bounds the calls at a time, of all hosts.
	maxServedCalls = 128
	// sessionIdleTimeout is after how long without a stream a session is closed: its host
	// sends a beat each beatEvery.
	sessionIdleTimeout = 10 * time.Second
	// ioTimeout bounds the reading of a call, and the writing of its answer.
	ioTimeout = time.Second
)

// Server carries out calls that other hosts pass on, by this host's store. The
// exported fields are set before Run.
type Server struct {
	Address string
	Intake  *mfintake.Intake
	Store   mothferry.RowStore
	// Config returns the config in force, nil before the first one.
	Config func() *mfqueue.Config
	Health *Health
	Clock  mothferry.Clock
	Log    *log.Entry
	// OnServed counts calls by their kind and outcome; it may be nil.
	OnServed func(kind Kind, outcome mfintake.Outcome)

	openCalls atomic.Int64
	leaving   atomic.Bool
}

// Leave tells other hosts that this one is about to stop: what it has is still answered.
func (s *Server) Leave() { s.leaving.Store(true) }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
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

func (s *Server) serve(ctx context.Context, session *mfsession.Session) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer cancel()
	silent := time.AfterFunc(sessionIdleTimeout, cancel)
	defer silent.Stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			_ = session.Close()
			return
		}
		silent.Reset(sessionIdleTimeout)
		go s.answer(ctx, stream)
	}
}

// answer serves one call.
func (s *Server) answer(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(ioTimeout))
	var message mfwire.Call
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrame}).UnmarshalFrom(bufio.NewReader(stream), &message); err != nil {
		s.Log.WithError(err).Info("call of another host can't be read")
		return
	}
	var a Answer
	switch message.GetKind() {
	case mfwire.Kind_KIND_BEAT:
	case mfwire.Kind_KIND_RELEASE:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		a.Outcome = s.release(ctx, &message)
	default:
		within := min(writeTimeout, time.Duration(message.GetWithinMs())*time.Millisecond)
		// A call goes on when its host is lost: what it stores is stored.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), within)
		defer cancel()
		a = s.handle(ctx, &message)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(ioTimeout))
	if _, err := protodelim.MarshalTo(stream, encodeReply(a, s.serving())); err != nil {
		s.Log.WithError(err).WithField("job", message.GetJob()).Info("answer can't be returned to another host")
	}
}

func (s *Server) serving() bool { return !s.leaving.Load() && s.Health.Serving(s.Clock.Now()) }

func (s *Server) handle(ctx context.Context, message *mfwire.Call) Answer {
	call, err := decodeCall(message)
	var a Answer
	switch {
	case err != nil || call.Kind == "":
		s.Log.WithError(err).WithField("job", message.GetJob()).Error("call of another host is malformed")
		a.Outcome = mfintake.OutcomeNotRun
	case !s.serving():
		a.Outcome = outcomeUnserved
	case s.openCalls.Add(1) > maxServedCalls:
		s.openCalls.Add(-1)
		a.Outcome = OutcomeLimit
	default:
		a = s.execute(ctx, call)
		s.openCalls.Add(-1)
	}
	if s.OnServed != nil && call.Kind != kindCount {
		s.OnServed(call.Kind, reportedOutcome(a.Outcome))
	}
	return a
}

// execute makes a call at this host's store. A job is judged by this host's word of
// the shard's owner: the one that got it hears no newer one.
func (s *Server) execute(ctx context.Context, call Call) Answer {
	c := s.Config()
	newer := c != nil && c.Version >= call.Config
	if newer && call.Key != nil {
		if account, ok := c.Accounts.LookupDigest(*call.Key); !ok || account != call.Account {
			return Answer{Outcome: OutcomeNoKey}
		}
	}
	switch call.Kind {
	case KindState:
		state, outcome := s.Intake.State(ctx, call.Job, call.Account)
		return Answer{Outcome: outcome, State: state}
	case kindCount:
		if count, ok := s.Intake.Pending(call.Queue); ok {
			return Answer{Outcome: mfintake.OutcomeDone, Count: count}
		}
		return Answer{Outcome: mfintake.OutcomeUnknown}
	case KindCancel:
		return Answer{Outcome: s.Intake.Cancel(ctx, call.Job, call.Account)}
	}
	queue, ok := findQueue(c, call.Submission.Queue)
	if newer && !ok {
		return Answer{Outcome: mfintake.OutcomeNotRun}
	}
	if ok && !call.Unresolved {
		if again, refused := s.Intake.Refuse(ctx, call.Job, queue, call.Submission); refused {
			return Answer{Outcome: mfintake.OutcomeNotRun, RetryAfter: max(again, time.Millisecond)}
		}
	}
	return Answer{Outcome: s.Intake.Accept(ctx, call.Job, call.Submission)}
}

func findQueue(c *mfqueue.Config, id mothferry.QueueID) (mfqueue.Queue, bool) {
	if c != nil {
		for _, q := range c.Queues {
			if q.ID == id {
				return q, true
			}
		}
	}
	return mfqueue.Queue{}, false
}
