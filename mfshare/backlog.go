// Package mfshare decides how much of a service's room each client account gets where
// there is more work than room, and how long the work of each waits for its part.
package mfshare

import (
	"time"

	"mothferry"
)

// maxPoolFraction is the part of all machines' cores that a pool can have once
// machines have moved to it. An estimate by the workers that are there at the
// moment turns away what machines on standby or on their way would serve, after
// a restart or as a turn begins.
const maxPoolFraction = 0.5

// Backlog is the work of a service that waits and can still be of use.
type Backlog struct {
	// Cores is what the service's workers have.
	Cores float64
	// Work is what waits, in core-seconds, by account; that of no account is under "".
	Work map[mothferry.AccountID]float64
}

// totalWork returns the core-seconds of all accounts.
func (b Backlog) totalWork() float64 {
	sum := 0.0
	for _, work := range b.Work {
		sum += work
	}
	return sum
}

// Waits returns how long work that comes now would wait at least in each service
// that has a backlog: its work over the cores that its pool has or can get.
// FleetCores is what all machines have.
func Waits(backlogs map[mothferry.ServiceID]Backlog, fleetCores float64) map[mothferry.ServiceID]time.Duration {
	waits := map[mothferry.ServiceID]time.Duration{}
	for service, b := range backlogs {
		reach, work := max(b.Cores, maxPoolFraction*fleetCores), b.totalWork()
		if reach > 0 && work > 0 {
			waits[service] = time.Duration(work / reach * float64(time.Second))
		}
	}
	return waits
}
