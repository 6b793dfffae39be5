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

// maxMissedHeartbeats is how many heartbeats in a row a daemon may miss before
// the others take over its shares.
const maxMissedHeartbeats = 4

// Peers is what the router needs of the mesh.
type Peers interface {
	States() []mfpeer.State
	Live(bound time.Duration) []mfpeer.State
}

// Router routes the requests of every service at one daemon.
type Router struct {
	Self       mothferry.DaemonID
	DataCentre mothferry.DataCentre
	Clock      mothferry.Clock
	Random     mothferry.Random
	Limits     Limits
	Store      *mfsnapshot.Store
	Peers      Peers
	// EntryHosts are all daemons of this data centre, this one included.
	EntryHosts []mothferry.DaemonID
	// Heartbeat is the interval at which peers are heard.
	Heartbeat time.Duration

	mutex    sync.RWMutex
	services map[mothferry.ServiceID]*service
	started  time.Time
}

// Prepare readies the router for use before Run.
func (r *Router) Prepare() {
	r.services = map[mothferry.ServiceID]*service{}
	r.started = r.Clock.Now()
	r.refresh(r.members())
}

// Run follows the snapshot and the peers until ctx ends.
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

// Acquire waits for the right to send a request of a service to a runner. Its
// error is an ErrNotRun.
func (r *Router) Acquire(ctx context.Context, id mothferry.ServiceID, q Request) (*Lease, error) {
	s, ok := r.service(id)
	if !ok {
		return nil, &mothferry.ErrNotRun{Reason: mothferry.ReasonNoRunner, RetryAfter: time.Second}
	}
	return s.acquire(ctx, q)
}

// Release ends a lease of a service and takes its result into the runner's health.
func (r *Router) Release(id mothferry.ServiceID, l *Lease, result Result) {
	if s, ok := r.service(id); ok {
		s.release(l, result)
	}
}

// Statuses returns what this daemon tells its peers of each service that is not idle here.
func (r *Router) Statuses() map[mothferry.ServiceID]mfpeer.ServiceStatus {
	out := map[mothferry.ServiceID]mfpeer.ServiceStatus{}
	for id, s := range r.allServices() {
		s.mutex.Lock()
		use, idle := s.balancer.Usage()
		s.mutex.Unlock()
		if idle {
			continue
		}
		out[id] = mfpeer.ServiceStatus{Queued: use.Queued, Demand: use.Demand, InFlight: use.InFlight}
	}
	return out
}

// InFlightLeaving counts this daemon's requests at runners of a placement
// that are to get no new ones.
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

// Stop refuses everything that waits and everything to come.
func (r *Router) stop() {
	for _, s := range r.allServices() {
		s.mutex.Lock()
		s.balancer.Stop()
		s.mutex.Unlock()
	}
}

// members returns the daemons that share this data centre's runners: all at
// first, since a daemon that believed itself alone until it has heard the
// others would overrun every runner; later those that are heard.
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

// refresh brings every balancer up to the snapshot in force.
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

// updatePeers passes on to each balancer what the data centre's other daemons say.
func (r *Router) updatePeers() {
	live := r.Peers.Live(maxMissedHeartbeats * r.Heartbeat)
	for id, s := range r.allServices() {
		var uses []PeerUsage
		for _, p := range live {
			if p.Peer.DataCentre != r.DataCentre {
				continue
			}
			if status, ok := p.Status.Services[id]; ok {
				uses = append(uses, PeerUsage{Daemon: p.Peer.Daemon, Queued: status.Queued, Demand: status.Demand, InFlight: status.InFlight})
			}
		}
		s.mutex.Lock()
		s.balancer.UpdatePeers(uses)
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
