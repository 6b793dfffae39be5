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

const (
	// eventBuffer is the capacity of the event queue: enough for the answers to one round of
	// orders.
	eventBuffer = 4096
	// tickInterval is how often the scheduler gets a tick.
	tickInterval = 10 * time.Millisecond
	// minRoundInterval is the minimum time between two rounds of decisions. At a traffic peak
	// two thousand answers per second arrive, and a round for each would cost more than what it
	// decides. It is half of the time between two polls or commits.
	minRoundInterval = 10 * time.Millisecond
	// maxRoundPause bounds the pause after a round: a host that was frozen in a round must renew its
	// ownership soon.
	maxRoundPause = 100 * time.Millisecond
	// inboxLongPoll is how long the store may hold a request for inbox changes.
	inboxLongPoll = 900 * time.Millisecond
	// inboxBatchInterval batches jobs that arrive close together.
	inboxBatchInterval = 25 * time.Millisecond
)

// session is one ownership of the shard.
type session struct {
	owner     *Owner
	committer *committer
	state     *mfsched.State
	events    chan queuedEvent
	// loopFuncs holds the functions that other goroutines have passed to runInLoop.
	loopFuncs chan func()
	machines  machineControl
	// predecessor holds the machine calls of previous owners.
	predecessor predecessorCalls
	// confirmedAt is when the last stored commit of this owner was sent.
	confirmedAt time.Time
	// commitSentAt is when the commit in flight was sent, commitLatency how long the last
	// stored one took.
	commitSentAt  time.Time
	commitLatency time.Duration
	// commitResult delivers the result of the commit in flight.
	commitResult   chan error
	commitInFlight bool
	commitNumber   int
	peerRelease    peerRelease
	config         *mfqueue.Config
	activity       activity
	times          loopTimes
	// journal encodes the stored progress of jobs; progress is what was stored before this
	// ownership, until all stored jobs have been passed to the scheduler.
	journal *mfjournal.Journal
	// publishedShares is the allocation last published to hosts, sharesComputedAt when it was
	// computed.
	publishedShares mfshare.Allocation
	// publishedWaits holds the waits last published to hosts, computed at waitsComputedAt.
	publishedWaits  map[mothferry.ServiceID]time.Duration
	waitsComputedAt time.Time
	startCapacity   startCapacity
	// headTrimmed reports whether the head is stored without some counts.
	headTrimmed      bool
	sharesComputedAt time.Time
	progress         map[mothferry.JobID]*mfjob.Progress
	// progressToDelete holds jobs whose progress is still to be deleted.
	progressToDelete []mothferry.JobID
	// progressLoaded is closed once progress is read, jobsLoaded once all stored jobs have
	// been passed to the scheduler.
	progressLoaded chan struct{}
	jobsLoaded     chan struct{}
	jobsLoadedOnce sync.Once
	ctx            context.Context
	// commits outlives ctx, so that a commit in flight during a planned shutdown still gets
	// its result; cancelCommits cancels it.
	commits       context.Context
	cancelCommits context.CancelFunc
}

// run runs the shard until ctx ends or another host owns it.
func (o *Owner) run(ctx context.Context, c *committer, claimed time.Time, seen observation) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	commits, cancelCommits := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCommits()
	lastCommit := seen.lastCommit(claimed)
	s := &session{
		owner:          o,
		committer:      c,
		state:          mfsched.New(o.Limits, c.head.Epoch, claimed, lastCommit.Add(c.head.LeaseTail)),
		events:         make(chan queuedEvent, eventBuffer),
		loopFuncs:      make(chan func(), eventBuffer),
		machines:       newMachineControl(o.Off),
		predecessor:    predecessorCalls{lastCommit: lastCommit, ages: seen.head.CallAges, head: seen.head, self: o.Daemon},
		confirmedAt:    claimed,
		commitResult:   make(chan error, 1),
		progressLoaded: make(chan struct{}),
		jobsLoaded:     make(chan struct{}),
		ctx:            inner,
		commits:        commits, cancelCommits: cancelCommits,
	}
	s.times = newLoopTimes(o.Clock)
	s.state.Off = o.Off
	s.state.OnTickStage = func(stage mfsched.TickStage) { s.times.enter(LoopPart(stage)) }
	s.state.OnTaskStage = s.taskStageEnded
	if o.OnPoolSizes != nil {
		defer o.OnPoolSizes(nil)
	}
	if o.OnSlowWorkers != nil {
		defer o.OnSlowWorkers(nil)
	}
	if o.OnGauge != nil {
		defer o.OnGauge(mfsched.Gauge{})
	}
	if o.WhileOwning != nil {
		var running sync.WaitGroup
		running.Go(func() { o.WhileOwning(inner) })
		defer running.Wait()
		defer cancel()
	}
	s.inheritCalls()
	// Inbox, workers and progress are read concurrently, as a takeover waits for all of them,
	// but applied in sequence.
	go s.followInbox()
	go s.followWorkers()
	if err := s.load(); err != nil {
		return err
	}
	close(s.progressLoaded)
	return s.loop()
}

// post passes an event to the loop.
func (s *session) post(e mfsched.Event) {
	select {
	case s.events <- queuedEvent{e, s.owner.Clock.Now()}:
	case <-s.ctx.Done():
	}
}

// runInLoop passes f to the loop, which runs it.
func (s *session) runInLoop(f func()) {
	select {
	case s.loopFuncs <- f:
	case <-s.ctx.Done():
	}
}

func (s *session) loop() error {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	lastRound, lastRoundTook := s.owner.Clock.Now(), time.Duration(0)
	for {
		s.times.enter(PartIdle)
		select {
		case <-s.ctx.Done():
			return s.finish()
		case err := <-s.commitResult:
			var rejected *errRowsRejected
			if err != nil && !errors.As(err, &rejected) {
				return err
			}
			s.commitInFlight = false
			s.confirmedAt, s.commitLatency = s.commitSentAt, s.owner.Clock.Now().Sub(s.commitSentAt)
			s.activity.committed(s.commitLatency)
			s.sendCommittedCalls(s.owner.Clock.Now())
			s.step(mfsched.CommitDone{Number: s.commitNumber, Rejected: s.rowsRejected(rejected)})
		case e := <-s.events:
			s.activity.queued(len(s.events)+1, s.owner.Clock.Now().Sub(e.at))
			s.step(e.Event)
			s.applyPendingEvents()
		case f := <-s.loopFuncs:
			s.times.enter(PartMachines)
			f()
			if s.peerRelease.stored {
				return errReleasedByPeer
			}
		case <-timer.C:
		}
		now := s.owner.Clock.Now()
		if wait := roundInterval(lastRoundTook) - now.Sub(lastRound); wait > 0 {
			timer.Reset(wait)
			continue
		}
		lastRound = now
		s.round(now)
		lastRoundTook = s.owner.Clock.Now().Sub(now)
		timer.Reset(tickInterval)
	}
}

// roundInterval returns the time from the start of one round of decisions to the start of the next.
// Rounds take at most half of the loop's time, so that answers are handled however much waits.
func roundInterval(lastTook time.Duration) time.Duration {
	return max(minRoundInterval, lastTook+min(lastTook, maxRoundPause))
}

// round makes decisions on everything that happened since the last round.
func (s *session) round(now time.Time) {
	s.times.enter(PartOther)
	s.owner.probeSpeed()
	s.pollMachines(now)
	s.tryPeerRelease(now)
	s.applyConfig()
	s.step(mfsched.Tick{})
	s.logActivity(now)
}

// applyPendingEvents applies the queued events, so that one round of decisions covers them
// all.
func (s *session) applyPendingEvents() {
	for range eventBuffer {
		select {
		case e := <-s.events:
			s.step(e.Event)
		default:
			return
		}
	}
}

// finish waits for the commit in flight, as the release of the shard depends on its outcome.
func (s *session) finish() error {
	if s.commitInFlight {
		select {
		case err := <-s.commitResult:
			if err != nil && !errors.Is(err, context.Canceled) {
				return err
			}
		case <-s.owner.Clock.After(releaseTimeout):
			// The release uses the same committer, which allows only one goroutine at a time.
			s.cancelCommits()
			<-s.commitResult
		}
	}
	return s.ctx.Err()
}

func (s *session) applyConfig() {
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
			Service: q.Service, Host: q.Host, Prefix: q.Prefix, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
			Stretch: q.Stretch, Latency: q.Latency, Advised: q.Advised, Advice: mfsched.AdviceTimes(q.Advice),
		}
	}
	for id, a := range c.Accounts.Accounts() {
		e.Accounts[id] = mfsched.Account{Weight: a.Weight, Limit: a.Limit}
	}
	for _, v := range c.Services {
		s.machines.standby[v.ID] = v.Standby
		e.Services[v.ID] = true
	}
	s.step(e)
}

func (s *session) step(e mfsched.Event) {
	before := s.times.enter(partOf(e))
	defer s.times.enter(before)
	for _, c := range s.state.Step(e, s.owner.Clock.Now()) {
		s.execute(c)
	}
}

func (s *session) execute(c mfsched.Command) {
	switch v := c.(type) {
	case mfsched.Commit:
		s.times.enter(PartEncoding)
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
		go s.requestAdvice(v)
	case mfsched.DeleteSubmissions:
		go s.deleteSubmissions(v)
	case mfsched.DeleteJobs:
		go s.deleteJobs(v)
	case mfsched.DeleteEarlyCancels:
		go s.deleteEarlyCancels(v)
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
