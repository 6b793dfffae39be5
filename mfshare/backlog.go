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

// Backlog is a service's waiting work that is still useful.
type Backlog struct {
	// Cores is the number of cores of the service's workers.
	Cores float64
	// Work is the waiting work by account, in core-seconds; work of no account is under "".
	Work map[mothferry.AccountID]float64
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
// its work over the cores that its pool has or can get. FleetCores is the number of cores of
// all machines.
func Waits(backlogs map[mothferry.ServiceID]Backlog, fleetCores float64) map[mothferry.ServiceID]time.Duration {
	waits := map[mothferry.ServiceID]time.Duration{}
	for service, b := range backlogs {
		cores, work := max(b.Cores, maxPoolFraction*fleetCores), b.totalWork()
		if cores > 0 && work > 0 {
			waits[service] = time.Duration(work / cores * float64(time.Second))
		}
	}
	return waits
}
