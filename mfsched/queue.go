package mfsched

import (
	"cmp"
	"maps"
	"slices"

	"mothferry"
	"mothferry/mfjob"
)

// queueAddress selects the requests that belong to a queue, and the workers that run its jobs.
type queueAddress struct {
	host, prefix string
	service      mothferry.ServiceID
}

func (q Queue) address() queueAddress { return queueAddress{q.Host, q.Prefix, q.Service} }

func (q Queue) terms() *mfjob.QueueTerms {
	return &mfjob.QueueTerms{
		Host: q.Host, Prefix: q.Prefix, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, Latency: q.Latency, Advised: q.Advised,
	}
}

// lowestPriority is the priority of jobs on whose queue nothing is known.
const lowestPriority = 1 << 20

func (s *State) configChanged(e ConfigChanged) {
	s.keepTerms(e.Queues)
	s.queues, s.services = e.Queues, e.Services
	s.queueAt, s.strictest = map[queueAddress]mothferry.QueueID{}, map[mothferry.ServiceID]Queue{}
	for _, id := range slices.Sorted(maps.Keys(e.Queues)) {
		q := e.Queues[id]
		s.queueAt[q.address()] = id
		if strictest, ok := s.strictest[q.Service]; !ok || q.MaxAttempts < strictest.MaxAttempts {
			s.strictest[q.Service] = q
		}
	}
	s.applyAccounts(e.Accounts)
}

// keepTerms keeps the terms of queues that are no longer in the config for jobs that were stored
// without them.
func (s *State) keepTerms(next map[mothferry.QueueID]Queue) {
	for _, j := range s.live {
		if j.submission.Terms != nil {
			continue
		}
		q, before := s.queues[j.submission.Queue]
		if _, stays := next[j.submission.Queue]; before && !stays {
			j.submission.Terms = q.terms()
		}
	}
}

// queueOf returns the queue of a job. If the config in force has no queue of that name, it is the
// one that has the same host, prefix and service, as a queue may be renamed, and otherwise that
// for which the job was accepted. A job that was stored without the terms of its queue gets those
// of the queue of its service with the fewest attempts.
func (s *State) queueOf(j *job) Queue {
	if q, ok := s.queues[j.submission.Queue]; ok {
		return q
	}
	if id, ok := s.renamedQueue(j); ok {
		return s.queues[id]
	}
	if t := j.submission.Terms; t != nil {
		return Queue{
			Service: j.submission.Service, Host: t.Host, Prefix: t.Prefix, Priority: t.Priority, MaxAttempts: max(1, t.MaxAttempts),
			Stretch: t.Stretch, Latency: t.Latency, Advised: t.Advised,
		}
	}
	q := Queue{Service: j.submission.Service, MaxAttempts: 1, Stretch: 1}
	if strictest, ok := s.strictest[j.submission.Service]; ok {
		q = strictest
	}
	q.Priority = lowestPriority
	return q
}

// renamedQueue returns the queue that the requests of a job's queue belong to now, if it has the
// same service.
func (s *State) renamedQueue(j *job) (mothferry.QueueID, bool) {
	t := j.submission.Terms
	if t == nil || cmp.Or(t.Host, t.Prefix) == "" {
		return "", false
	}
	id, ok := s.queueAt[queueAddress{t.Host, t.Prefix, j.submission.Service}]
	return id, ok
}

// Pending returns how many accepted jobs of each queue have not started; those of a renamed queue
// count under both names, as hosts may not know the new one yet. The count is not known until all
// stored jobs have been loaded.
func (s *State) Pending() (map[mothferry.QueueID]int, bool) {
	pending := map[mothferry.QueueID]int{}
	for _, j := range s.live {
		if j.started {
			continue
		}
		pending[j.submission.Queue]++
		if _, ok := s.queues[j.submission.Queue]; ok {
			continue
		}
		if id, ok := s.renamedQueue(j); ok {
			pending[id]++
		}
	}
	return pending, s.loaded
}
