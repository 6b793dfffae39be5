package mfroute

import (
	"context"
	"slices"
	"sync"
	"time"

	"mothferry"
	"mothferry/mfpeer"
	"mothferry/mfplacement"
	"mothferry/mfsnapshot"
)

// maxMissedHeartbeats is how many consecutive heartbeats a daemon may miss before the others
// divide its shares among themselves.
const maxMissedHeartbeats = 4

// Peers is the part of the peer mesh that the router uses.
type Peers interface {
	States() []mfpeer.State
	Live(bound time.Duration) []mfpeer.State
}

// Router routes the requests of all services at one daemon.
type Router struct {
	Self       mothferry.DaemonID
	DataCentre mothferry.DataCentre
	Clock      mothferry.Clock
	Random     mothferry.Random
	Limits     Limits
	Store      *mfsnapshot.Store
	Peers      Peers
	// EntryHosts are all daemons of this data centre, including this one.
	EntryHosts []mothferry.DaemonID
	// Heartbeat is the interval of the peers' reports.
	Heartbeat time.Duration

	mutex    sync.RWMutex
	services map[mothferry.ServiceID]*service
	started  time.Time
}

// Prepare initialises the router before Run.
func (r *Router) Prepare() {
	r.services = map[mothferry.ServiceID]*service{}
	r.started = r.Clock.Now()
	r.refresh(r.members())
}

// Run applies changes of the snapshot and reports of the peers until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	var snapshot *mfsnapshot.Snapshot
	var members []mothferry.DaemonID
	for {
		changed := r.Store.Changed()
		current, now := r.Store.Current(), r.members()
		if current != snapshot || !slices.Equal(now, members) {
			snapshot, members = current, now
			r.refresh(members)
		}
		r.updatePeers()
		select {
		case <-ctx.Done():
			r.stop()
			return ctx.Err()
		case <-changed:
		case <-r.Clock.After(r.Heartbeat / 2):
		}
	}
}

// Acquire waits until a request of a service may be sent to a runner. Its error is an
// ErrNotRun.
func (r *Router) Acquire(ctx context.Context, id mothferry.ServiceID, q Request) (*Lease, error) {
	s, ok := r.service(id)
	if !ok {
		return nil, &mothferry.ErrNotRun{Reason: mothferry.ReasonNoRunner, RetryAfter: time.Second}
	}
	return s.acquire(ctx, q)
}

// Release ends a lease of a service and records its result for the runner's health.
func (r *Router) Release(id mothferry.ServiceID, l *Lease, result Result) {
	if s, ok := r.service(id); ok {
		s.release(l, result)
	}
}

// Statuses returns what this daemon reports to its peers about each service that is not idle
// here.
func (r *Router) Statuses() map[mothferry.ServiceID]mfpeer.ServiceStatus {
	out := map[mothferry.ServiceID]mfpeer.ServiceStatus{}
	for id, s := range r.allServices() {
		s.mutex.Lock()
		usage, idle := s.balancer.Usage()
		s.mutex.Unlock()
		if idle {
			continue
		}
		out[id] = mfpeer.ServiceStatus{Queued: usage.Queued, Demand: usage.Demand, InFlight: usage.InFlight}
	}
	return out
}

// InFlightLeaving counts this daemon's requests in flight at runners of a placement that get
// no new ones.
func (r *Router) InFlightLeaving(p mfplacement.Record) int {
	tasks := map[mothferry.TaskID]bool{}
	for _, k := range p.Runners {
		tasks[k.Task] = true
	}
	count := 0
	for _, s := range r.allServices() {
		s.mutex.Lock()
		count += s.balancer.InFlightLeaving(tasks)
		s.mutex.Unlock()
	}
	return count
}

// stop refuses all waiting requests.
func (r *Router) stop() {
	for _, s := range r.allServices() {
		s.mutex.Lock()
		s.balancer.Stop()
		s.mutex.Unlock()
	}
}

// members returns the daemons that share this data centre's runners. Until the peers have had
// time to report, it returns all of them, since a daemon that took itself for the only member
// would overload every runner; afterwards, those whose heartbeats arrive.
func (r *Router) members() []mothferry.DaemonID {
	bound := maxMissedHeartbeats * r.Heartbeat
	if r.Clock.Now().Sub(r.started) < bound {
		return r.EntryHosts
	}
	members := []mothferry.DaemonID{r.Self}
	for _, s := range r.Peers.Live(bound) {
		if s.Peer.DataCentre == r.DataCentre {
			members = append(members, s.Peer.Daemon)
		}
	}
	slices.Sort(members)
	return members
}

// refresh updates every balancer to the current snapshot.
func (r *Router) refresh(members []mothferry.DaemonID) {
	snapshot := r.Store.Current()
	for id, record := range snapshot.Documents {
		s, ok := r.service(id)
		if !ok {
			s = &service{balancer: &Balancer{Self: r.Self, Clock: r.Clock, Random: r.Random, Limits: r.Limits}}
		}
		s.update(record.Document, snapshot.Runners[id], members)
		if !ok {
			r.mutex.Lock()
			r.services[id] = s
			r.mutex.Unlock()
		}
	}
}

// updatePeers passes the reports of the data centre's other daemons to the balancers.
func (r *Router) updatePeers() {
	live := r.Peers.Live(maxMissedHeartbeats * r.Heartbeat)
	for id, s := range r.allServices() {
		var usages []PeerUsage
		for _, p := range live {
			if p.Peer.DataCentre != r.DataCentre {
				continue
			}
			if status, ok := p.Status.Services[id]; ok {
				usages = append(usages, PeerUsage{Daemon: p.Peer.Daemon, Queued: status.Queued, Demand: status.Demand, InFlight: status.InFlight})
			}
		}
		s.mutex.Lock()
		s.balancer.UpdatePeers(usages)
		s.mutex.Unlock()
	}
}

func (r *Router) service(id mothferry.ServiceID) (*service, bool) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	s, ok := r.services[id]
	return s, ok
}

func (r *Router) allServices() map[mothferry.ServiceID]*service {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	out := make(map[mothferry.ServiceID]*service, len(r.services))
	for id, s := range r.services {
		out[id] = s
	}
	return out
}
