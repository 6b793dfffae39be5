// Package mfshare divides a service's capacity among client accounts when there is more work
// than capacity, and estimates how long the work of each account waits for its share.
package mfshare

import (
	"time"

	"mothferry"
)

// maxPoolFraction is the fraction of all machines' cores that a pool can have once machines
// have moved to it. An estimate by the workers present at the moment would refuse work that
// machines on standby or in transit will serve, after a restart or as a demand peak begins.
const maxPoolFraction = 0.5

// maxOwnerWait bounds the wait that follows from the owner's rate of starts, which is measured over a
// second and says nothing about later ones.
const maxOwnerWait = 10 * time.Second

// Backlog is a service's waiting work that is still useful.
type Backlog struct {
	// Cores is the number of cores of the service's workers.
	Cores float64
	// Work is the waiting work by account, in core-seconds; work of no account is under "".
	Work map[mothferry.AccountID]float64
	// Tasks is the number of waiting tasks.
	Tasks int
}

// totalWork returns the waiting work of all accounts, in core-seconds.
func (b Backlog) totalWork() float64 {
	sum := 0.0
	for _, work := range b.Work {
		sum += work
	}
	return sum
}

// Waits returns the minimum wait of newly arriving work in each service that has a backlog:
// its work over the cores that its pool has or can get, or the tasks that wait in all services over
// how many the owner can start a second, if that is more. FleetCores is the number of cores of
// all machines; a startRate of zero does not bind.
func Waits(backlogs map[mothferry.ServiceID]Backlog, fleetCores, startRate float64) map[mothferry.ServiceID]time.Duration {
	waits := map[mothferry.ServiceID]time.Duration{}
	tasks := 0
	for _, b := range backlogs {
		tasks += b.Tasks
	}
	ownerWait := 0.0
	if startRate > 0 {
		ownerWait = min(maxOwnerWait.Seconds(), float64(tasks)/startRate)
	}
	for service, b := range backlogs {
		cores, wait := max(b.Cores, maxPoolFraction*fleetCores), ownerWait
		if cores > 0 {
			wait = max(wait, b.totalWork()/cores)
		}
		if wait > 0 {
			waits[service] = time.Duration(wait * float64(time.Second))
		}
	}
	return waits
}
