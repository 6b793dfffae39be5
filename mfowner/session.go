package mfowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfqueue"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// Figures of a session.
const (
	// eventBuffer is how many events may wait; answers to a round of orders at
	// the most.
	eventBuffer = 4096
	// tickInterval is how often time passes for the scheduler.
	tickInterval = 10 * time.Millisecond
	// minRoundInterval is the shortest time between two rounds of decisions. Answers come two
	// thousand a second at the height of a turn; a round for each looks through all
	// workers each time. It is a fifth of the pause between two looks or commits.
	minRoundInterval = 4 * time.Millisecond
	// inboxLongPoll is how long the store may hold the inbox's feed back.
	inboxLongPoll = 900 * time.Millisecond
	// inboxBatchInterval gathers jobs that come close together into one call.
	inboxBatchInterval = 25 * time.Millisecond
)

// session is one ownership of the shard.
type session struct {
	owner     *Owner
	committer *committer
	state     *mfsched.State
	events    chan mfsched.Event
	// loopFuncs holds what other goroutines want done in the loop.
	loopFuncs chan func()
	machines  machineControl
	// predecessor is what former owners asked for.
	predecessor predecessorCalls
	// confirmedAt is when the last commit of this owner that is stored was sent.
	confirmedAt time.Time
	// commitSentAt is when the commit under way was sent, took how long the last one that is stored took.
	commitSentAt  time.Time
	commitLatency time.Duration
	// commitResult brings the result of the commit under way.
	commitResult   chan error
	commitInFlight bool
	commitNumber   int
	peerRelease    peerRelease
	config         *mfqueue.Config
	activity       activity
	// journal lays out what is stored of jobs, progress what was stored before this
	// ownership.
	journal *mfjournal.Journal
	// publishedShares is what hosts were last told of accounts' shares, sharesAt when that was worked out.
	publishedShares  mfshare.Allocation
	sharesComputedAt time.Time
	progress         map[mothferry.JobID]*mfjob.Progress
	// progressToDelete holds jobs whose progress is still to be deleted.
	progressToDelete []mothferry.JobID
	// progressLoaded is closed once progress is read, loaded once all stored jobs have been
	// passed on.
	progressLoaded chan struct{}
	jobsLoaded     chan struct{}
	jobsLoadedOnce sync.Once
	ctx            context.Context
	// commits outlives ctx, so that a commit under way at a planned stop still
	// gets its outcome; endCommits ends it.
	commits       context.Context
	cancelCommits context.CancelFunc
}

// run runs the shard until ctx ends or another host has it.
func (o *Owner) run(ctx context.Context, c *committer, taken time.Time, seen observation) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	commits, cancelCommits := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCommits()
	former := seen.lastCommit(taken)
	s := &session{
		owner:          o,
		committer:      c,
		state:          mfsched.New(o.Limits, c.head.Epoch, taken, former.Add(c.head.LeaseTail)),
		events:         make(chan mfsched.Event, eventBuffer),
		loopFuncs:      make(chan func(), eventBuffer),
		machines:       newMachineControl(o.Off),
		predecessor:    predecessorCalls{lastCommit: former, ages: seen.head.CallAges, head: seen.head, self: o.Daemon},
		confirmedAt:    taken,
		commitResult:   make(chan error, 1),
		progressLoaded: make(chan struct{}),
		jobsLoaded:     make(chan struct{}),
		ctx:            inner,
		commits:        commits, cancelCommits: cancelCommits,
	}
	s.state.Off = o.Off
	if o.OnPoolSizes != nil {
		defer o.OnPoolSizes(nil)
	}
	if o.OnSlowWorkers != nil {
		defer o.OnSlowWorkers(nil)
	}
	if o.WhileOwning != nil {
		var beside sync.WaitGroup
		beside.Go(func() { o.WhileOwning(inner) })
		defer beside.Wait()
		defer cancel()
	}
	s.inheritCalls()
	// All three are read at the same time, which a takeover waits for, and taken in one
	// after the other.
	go s.followInbox()
	go s.followWorkers()
	if err := s.load(); err != nil {
		return err
	}
	close(s.progressLoaded)
	return s.loop()
}

// post hands an event to the loop.
func (s *session) post(e mfsched.Event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// runInLoop has f run by the loop.
func (s *session) runInLoop(f func()) {
	select {
	case s.loopFuncs <- f:
	case <-s.ctx.Done():
	}
}

func (s *session) loop() error {
	due := time.NewTimer(tickInterval)
	defer due.Stop()
	ticked := s.owner.Clock.Now()
	for {
		select {
		case <-s.ctx.Done():
			return s.finish()
		case err := <-s.commitResult:
			if err != nil {
				return err
			}
			s.commitInFlight = false
			s.confirmedAt, s.commitLatency = s.commitSentAt, s.owner.Clock.Now().Sub(s.commitSentAt)
			s.activity.committed(s.commitLatency)
			s.sendCommittedCalls(s.owner.Clock.Now())
			s.step(mfsched.CommitDone{Number: s.commitNumber})
		case e := <-s.events:
			s.step(e)
			s.applyPendingEvents()
		case f := <-s.loopFuncs:
			f()
			if s.peerRelease.stored {
				return errReleasedByPeer
			}
		case <-due.C:
		}
		now := s.owner.Clock.Now()
		if wait := minRoundInterval - now.Sub(ticked); wait > 0 {
			due.Reset(wait)
			continue
		}
		ticked = now
		s.round(now)
		due.Reset(tickInterval)
	}
}

// round decides on all that was learnt since the last one.
func (s *session) round(now time.Time) {
	s.owner.probeSpeed()
	s.pollMachines(now)
	s.tryPeerRelease(now)
	s.adoptConfig()
	s.step(mfsched.Tick{})
	s.logActivity(now)
}

// applyPendingEvents takes in the events that wait already, so that one round of decisions
// answers them all.
func (s *session) applyPendingEvents() {
	for range eventBuffer {
		select {
		case e := <-s.events:
			s.step(e)
		default:
			return
		}
	}
}

// finish waits for the commit under way, whose outcome giving the shard up
// depends on.
func (s *session) finish() error {
	if s.commitInFlight {
		select {
		case err := <-s.commitResult:
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
		case <-s.owner.Clock.After(releaseTimeout):
			// The shard is given up by the same chain, which one goroutine uses at a time.
			s.cancelCommits()
			<-s.commitResult
		}
	}
	return s.ctx.Err()
}

func (s *session) adoptConfig() {
	c := s.owner.Config()
	if c == s.config || c == nil {
		return
	}
	s.config = c
	e := mfsched.ConfigChanged{Queues: map[mothferry.QueueID]mfsched.Queue{}, Services: map[mothferry.ServiceID]bool{}, Accounts: map[mothferry.AccountID]mfsched.Account{}}
	s.machines.standby = map[mothferry.ServiceID]bool{}
	for _, q := range c.Queues {
		e.Services[q.Service] = true
		e.Queues[q.ID] = mfsched.Queue{
			Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
			Stretch: q.Stretch, Latency: q.Latency, Advised: q.Advised,
		}
	}
	for id, a := range c.Accounts.Accounts() {
		e.Accounts[id] = mfsched.Account{Weight: a.Weight, Limit: a.Most}
	}
	for _, v := range c.Services {
		s.machines.standby[v.ID] = v.Standby
		e.Services[v.ID] = true
	}
	s.step(e)
}

func (s *session) step(e mfsched.Event) {
	for _, c := range s.state.Step(e, s.owner.Clock.Now()) {
		s.execute(c)
	}
}

func (s *session) execute(c mfsched.Command) {
	switch v := c.(type) {
	case mfsched.Commit:
		s.commit(v)
	case mfsched.Start:
		go s.start(v)
	case mfsched.Stop:
		go s.stop(v)
	case mfsched.Poll:
		go s.poll(v)
	case mfsched.Pace:
		go s.pace(v)
	case mfsched.RequestAdvice:
		go s.askAdviser(v)
	case mfsched.DeleteSubmissions:
		go s.deleteSubmissions(v)
	case mfsched.DeleteJobs:
		go s.deleteJobs(v)
	case mfsched.Decision:
		s.logDecision(v)
	case mfsched.JobEnd:
		if s.owner.OnJobEnd != nil {
			s.owner.OnJobEnd(v)
		}
	}
}

func (s *session) logDecision(d mfsched.Decision) {
	if s.owner.OnDecision != nil {
		s.owner.OnDecision(d.Message)
	}
	fields := log.Fields{"epoch": s.state.Epoch}
	if d.Job != "" {
		fields["job"] = d.Job
	}
	if d.Worker != "" {
		fields["worker"] = d.Worker
	}
	for name, value := range d.Fields {
		fields[name] = value
	}
	s.owner.Log.WithFields(fields).Info(d.Message)
}
