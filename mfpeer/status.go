package mfpeer

import (
	"mothferry"
	"mothferry/mfpeer/mfwire"
)

// Peer is another daemon as the settings name it.
type Peer struct {
	Daemon     mothferry.DaemonID
	DataCentre mothferry.DataCentre
	// Address is the IP number and port it takes peers at.
	Address string
}

// Status is a heartbeat: what a daemon has in force and can offer.
type Status struct {
	// Incarnation tells one run of a daemon from the next.
	Incarnation uint64
	Revision    mothferry.Revision
	Shards      map[mothferry.PoolID]ShardStatus
	Services    map[mothferry.ServiceID]ServiceStatus
	Stopping    bool
}

// ShardStatus tells which placement of a shard a daemon has in force.
type ShardStatus struct {
	Generation mothferry.Generation
	// InFlightLeaving counts its requests at leaving runners of the shard.
	InFlightLeaving int
}

// ServiceStatus tells what a daemon does for a service. A service that is not
// in a Status is idle at that daemon: most are, and are not told of.
type ServiceStatus struct {
	Queued int
	// Demand is the number of slots that its callers would keep busy.
	Demand float64
	// InFlight counts its requests at each runner, by the runners' task ids in order.
	InFlight []int
}

// perThousand is the factor between a number and its thousandths on the wire.
const perThousand = 1000

func (s Status) encode() *mfwire.Status {
	out := &mfwire.Status{Incarnation: s.Incarnation, Revision: uint64(s.Revision), Stopping: s.Stopping}
	for pool, k := range s.Shards {
		out.Shards = append(out.Shards, &mfwire.ShardStatus{
			Pool: string(pool), Generation: uint64(k.Generation), InFlightLeaving: uint32(k.InFlightLeaving),
		})
	}
	for service, k := range s.Services {
		status := &mfwire.ServiceStatus{Service: string(service), Queued: uint32(k.Queued), DemandMillis: uint32(k.Demand * perThousand)}
		for _, n := range k.InFlight {
			status.InFlight = append(status.InFlight, uint32(n))
		}
		out.Services = append(out.Services, status)
	}
	return out
}

func decodeStatus(w *mfwire.Status) Status {
	out := Status{
		Incarnation: w.GetIncarnation(),
		Revision:    mothferry.Revision(w.GetRevision()),
		Stopping:    w.GetStopping(),
		Shards:      map[mothferry.PoolID]ShardStatus{},
		Services:    map[mothferry.ServiceID]ServiceStatus{},
	}
	for _, k := range w.GetShards() {
		out.Shards[mothferry.PoolID(k.GetPool())] = ShardStatus{
			Generation: mothferry.Generation(k.GetGeneration()), InFlightLeaving: int(k.GetInFlightLeaving()),
		}
	}
	for _, k := range w.GetServices() {
		status := ServiceStatus{Queued: int(k.GetQueued()), Demand: float64(k.GetDemandMillis()) / perThousand}
		for _, n := range k.GetInFlight() {
			status.InFlight = append(status.InFlight, int(n))
		}
		out.Services[mothferry.ServiceID(k.GetService())] = status
	}
	return out
}

// remote returns what daemons of other data centres need of a status: that
// the sender lives, its revision, and whether it is stopping. Its runners are
// none of theirs.
func (s Status) remote() Status {
	return Status{Incarnation: s.Incarnation, Revision: s.Revision, Stopping: s.Stopping}
}
