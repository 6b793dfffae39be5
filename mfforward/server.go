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
	// mostCarried bounds the calls at a time, of all hosts.
	mostCarried = 128
	// sessionSilent is after how long without a stream a session is closed: its host
	// sends a beat each beatEvery.
	sessionSilent = 10 * time.Second
	// moveWithin bounds the reading of a call, and the writing of its answer.
	moveWithin = time.Second
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
	// Carried counts calls by their kind and outcome; it may be nil.
	Carried func(kind Kind, outcome mfintake.Outcome)

	open    atomic.Int64
	leaving atomic.Bool
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
	silent := time.AfterFunc(sessionSilent, cancel)
	defer silent.Stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			_ = session.Close()
			return
		}
		silent.Reset(sessionSilent)
		go s.answer(ctx, stream)
	}
}

// answer serves one call.
func (s *Server) answer(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(moveWithin))
	var message mfwire.Call
	if err := (protodelim.UnmarshalOptions{MaxSize: maxFrame}).UnmarshalFrom(bufio.NewReader(stream), &message); err != nil {
		s.Log.WithError(err).Info("call of another host can't be read")
		return
	}
	var a Answer
	switch message.GetKind() {
	case mfwire.Kind_KIND_BEAT:
	case mfwire.Kind_KIND_RELEASE:
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseWithin)
		defer cancel()
		a.Outcome = s.release(ctx, &message)
	default:
		within := min(writeWithin, time.Duration(message.GetWithinMs())*time.Millisecond)
		// A call goes on when its host is lost: what it stores is stored.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), within)
		defer cancel()
		a = s.carry(ctx, &message)
	}
	_ = stream.SetWriteDeadline(time.Now().Add(moveWithin))
	if _, err := protodelim.MarshalTo(stream, encodeReply(a, s.serving())); err != nil {
		s.Log.WithError(err).WithField("job", message.GetJob()).Info("answer can't be returned to another host")
	}
}

func (s *Server) serving() bool { return !s.leaving.Load() && s.Health.Serving(s.Clock.Now()) }

func (s *Server) carry(ctx context.Context, message *mfwire.Call) Answer {
	call, err := decodeCall(message)
	var a Answer
	switch {
	case err != nil || call.Kind == "":
		s.Log.WithError(err).WithField("job", message.GetJob()).Error("call of another host is malformed")
		a.Outcome = mfintake.OutcomeNotRun
	case !s.serving():
		a.Outcome = outcomeAway
	case s.open.Add(1) > mostCarried:
		s.open.Add(-1)
		a.Outcome = OutcomeLimit
	default:
		a = s.carryOut(ctx, call)
		s.open.Add(-1)
	}
	if s.Carried != nil && call.Kind != kindCount {
		s.Carried(call.Kind, counted(a.Outcome))
	}
	return a
}

// carryOut makes a call at this host's store. A job is judged by this host's word of
// the shard's owner: the one that got it hears no newer one.
func (s *Server) carryOut(ctx context.Context, call Call) Answer {
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
	queue, ok := queueOf(c, call.Submission.Queue)
	if newer && !ok {
		return Answer{Outcome: mfintake.OutcomeNotRun}
	}
	if ok && !call.Unclear {
		if again, refused := s.Intake.Refuse(ctx, call.Job, queue, call.Submission); refused {
			return Answer{Outcome: mfintake.OutcomeNotRun, Again: max(again, time.Millisecond)}
		}
	}
	return Answer{Outcome: s.Intake.Accept(ctx, call.Job, call.Submission)}
}

func queueOf(c *mfqueue.Config, id mothferry.QueueID) (mfqueue.Queue, bool) {
	if c != nil {
		for _, q := range c.Queues {
			if q.ID == id {
				return q, true
			}
		}
	}
	return mfqueue.Queue{}, false
}
