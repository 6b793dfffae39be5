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

// Request describes a caller's request for routing. Its deadline is that of the context passed
// to Acquire.
type Request struct {
	Customer  mothferry.CustomerID
	Priority  mfadmit.Priority
	Exclude   map[mothferry.TaskID]bool
	Reattempt bool
	Retry     bool
}

// service makes one service's balancer safe for concurrent requests.
type service struct {
	mutex    sync.Mutex
	balancer *Balancer
}

// decision is the result of a ticket.
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

// abandon cancels a ticket. If it was granted at the same moment, its lease is released;
// otherwise the slot would be lost.
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

// wakeAfter grants slots again after the backoff of a busy runner: nothing else would trigger
// it for requests that wait for that runner alone.
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
