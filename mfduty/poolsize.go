package mfduty

import (
	"time"

	"mothferry"
	"mothferry/mfpool"
)

// PoolSize is how many machines a pool has and should have.
type PoolSize struct {
	// Need is how many machines its demand requires by each resource.
	Need mfpool.Need
	// Present counts the machines that are in the pool or are moving to it, Needed those that
	// its demand requires, and Target those that it should get.
	Present, Needed, Target int
	// Binding is the resource that requires the most machines; empty if the size follows from
	// something else, such as the pool's minimum.
	Binding Resource
}

// Resource is one of the resources by which pools are sized.
type Resource string

// Resources by which pools are sized.
const (
	ResourceCores  Resource = "cores"
	ResourceMemory Resource = "memory"
)

// Shortfall returns by how many machines the target is below what the demand requires.
func (p PoolSize) Shortfall() int { return max(0, p.Needed-p.Target) }

// bindingResource returns the resource that determines a need.
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

// poolSizes returns the sizes of all pools that a plan has decided on.
func poolSizes(pools map[mothferry.ServiceID]mfpool.Pool, needed map[mothferry.ServiceID]int, targets map[mothferry.ServiceID]mfpool.Target) map[mothferry.ServiceID]PoolSize {
	sizes := map[mothferry.ServiceID]PoolSize{}
	for id, p := range pools {
		n := p.Need()
		sizes[id] = PoolSize{Need: n, Present: p.Machines, Needed: needed[id], Target: targets[id].Machines, Binding: bindingResource(n, needed[id])}
	}
	return sizes
}

const (
	// reportInterval is the shortest interval between two reports of small changes of a pool.
	reportInterval = time.Second
	// minReportFraction of the last reported target, and at least minReportMachines, is the
	// change of a target that is reported at once.
	minReportFraction = 0.25
	minReportMachines = 3
)

// PoolSizeLog limits the rate at which changes of pool sizes are logged. The zero value is ready
// for use.
type PoolSizeLog struct {
	reported map[mothferry.ServiceID]reportedSize
}

type reportedSize struct {
	size PoolSize
	at   time.Time
}

// Changed returns the pool sizes to log now: those whose target has changed by much since the
// last report, and once per reportInterval others that have changed.
func (l *PoolSizeLog) Changed(sizes map[mothferry.ServiceID]PoolSize, now time.Time) map[mothferry.ServiceID]PoolSize {
	if l.reported == nil {
		l.reported = map[mothferry.ServiceID]reportedSize{}
	}
	changed := map[mothferry.ServiceID]PoolSize{}
	for id, size := range sizes {
		last, known := l.reported[id]
		change := max(size.Target-last.size.Target, last.size.Target-size.Target)
		large := change >= minReportMachines && float64(change) >= minReportFraction*float64(last.size.Target)
		differs := size.Target != last.size.Target || size.Binding != last.size.Binding || size.Shortfall() != last.size.Shortfall()
		if known && !large && (!differs || now.Sub(last.at) < reportInterval) {
			continue
		}
		l.reported[id] = reportedSize{size: size, at: now}
		changed[id] = size
	}
	return changed
}
