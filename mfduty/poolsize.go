package mfduty

import (
	"time"

	"mothferry"
	"mothferry/mfpool"
)

// PoolSize is how many machines a pool has and should have.
type PoolSize struct {
	// Need is how many its demand asks for by each resource.
	Need mfpool.Need
	// Present counts those that are in it or on their way to it, Needed those that its
	// demand asks for, and Target those that it is to have.
	Present, Needed, Target int
	// Binding is the resource that asks for most of them; empty if the size follows from
	// something else, such as the fewest that a pool keeps.
	Binding Resource
}

// Resource is one of the resources by which pools are sized.
type Resource string

// Resources by which pools are sized.
const (
	ResourceCores  Resource = "cores"
	ResourceMemory Resource = "memory"
)

// Shortfall is how many machines the pool misses of those that its demand asks for.
func (r PoolSize) Shortfall() int { return max(0, r.Needed-r.Target) }

// bindingResource returns the resource that decides a need.
func bindingResource(need mfpool.Need, needed int) Resource {
	switch {
	case need.Cores < needed && need.Memory < needed:
		return ""
	case need.Memory > need.Cores:
		return ResourceMemory
	default:
		return ResourceCores
	}
}

// poolSizes tells of all pools what was decided.
func poolSizes(pools map[mothferry.ServiceID]mfpool.Pool, needed map[mothferry.ServiceID]int, targets map[mothferry.ServiceID]mfpool.Target) map[mothferry.ServiceID]PoolSize {
	rooms := map[mothferry.ServiceID]PoolSize{}
	for id, p := range pools {
		n := p.Need()
		rooms[id] = PoolSize{Need: n, Present: p.Machines, Needed: needed[id], Target: targets[id].Machines, Binding: bindingResource(n, needed[id])}
	}
	return rooms
}

// Bounds of what is told of rooms.
const (
	// reportInterval is how often a pool's changes are told.
	reportInterval = time.Second
	// minReportFraction is by which part of the last target, and at least tellLeast machines, a
	// target has to differ to be told at once.
	minReportFraction = 0.25
	minReportMachines = 3
)

// PoolSizeLog decides which changes of rooms are worth a line. The zero value is ready for use.
type PoolSizeLog struct {
	reported map[mothferry.ServiceID]reportedSize
}

type reportedSize struct {
	size PoolSize
	at   time.Time
}

// Changed returns the rooms that are to be told of now: those whose target has changed by much,
// and others that have changed once a second.
func (l *PoolSizeLog) Changed(rooms map[mothferry.ServiceID]PoolSize, now time.Time) map[mothferry.ServiceID]PoolSize {
	if l.reported == nil {
		l.reported = map[mothferry.ServiceID]reportedSize{}
	}
	due := map[mothferry.ServiceID]PoolSize{}
	for id, r := range rooms {
		old, known := l.reported[id]
		change := max(r.Target-old.size.Target, old.size.Target-r.Target)
		much := change >= minReportMachines && float64(change) >= minReportFraction*float64(old.size.Target)
		other := r.Target != old.size.Target || r.Binding != old.size.Binding || r.Shortfall() != old.size.Shortfall()
		if known && !much && (!other || now.Sub(old.at) < reportInterval) {
			continue
		}
		l.reported[id] = reportedSize{size: r, at: now}
		due[id] = r
	}
	return due
}
