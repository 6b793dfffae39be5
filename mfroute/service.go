package mfroute

import (
	"context"
	"errors"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfadmit"
	"mothferry/mfdocument"
	"mothferry/mfplacement"
)

// Request is what routing needs to know of a caller's request. Its deadline
// is that of the context it is acquired with.
type Request struct {
	Customer  mothferry.CustomerID
	Priority  mfadmit.Priority
	Exclude   map[mothferry.TaskID]bool
	Reattempt bool
	Retry     bool
}

// service shares one service's balancer between requests.
type service struct {
	mutex    sync.Mutex
	balancer *Balancer
}

// decision is what a ticket came to.
type decision struct {
	lease *Lease
	err   error
}

// acquire waits for a runner until ctx ends.
func (s *service) acquire(ctx context.Context, q Request) (*Lease, error) {
	decided := make(chan decision, 1)
	deadline, _ := ctx.Deadline()
	t := &Ticket{
		Customer: q.Customer, Priority: q.Priority, Deadline: deadline, Exclude: q.Exclude, Reattempt: q.Reattempt, Retry: q.Retry,
		Decide: func(l *Lease, err error) { decided <- decision{l, err} },
	}
	s.mutex.Lock()
	s.balancer.Submit(t)
	s.mutex.Unlock()
	select {
	case d := <-decided:
		return d.lease, d.err
	case <-ctx.Done():
	}
	return nil, s.abandon(ctx, t, decided)
}

// abandon gives up a ticket. One that was granted in the same moment gives
// its lease back, else the slot would be lost for good.
func (s *service) abandon(ctx context.Context, t *Ticket, decided <-chan decision) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.balancer.Cancel(t) {
		d := <-decided
		if d.lease == nil {
			return d.err
		}
		s.balancer.Release(d.lease, ResultNeutral)
	}
	reason := mothferry.ReasonCallerGone
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = mothferry.ReasonDeadline
	}
	return s.balancer.refusal(reason)
}

func (s *service) release(l *Lease, result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Release(l, result)
	if result == ResultBusy {
		go s.wakeAfter(busyBackoff)
	}
}

// wakeAfter grants again once the pause of a busy runner is over: without it
// requests that wait for that runner alone would not notice.
func (s *service) wakeAfter(d time.Duration) {
	<-s.balancer.Clock.After(d)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Wake()
}

func (s *service) update(d mfdocument.Document, placed []mfplacement.Runner, members []mothferry.DaemonID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.balancer.Update(d, placed, members)
}
