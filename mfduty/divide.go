package mfduty

import (
	"time"

	"mothferry"
	"mothferry/mfpool"
)

// divideThreshold is the ratio of the pools' targets to the fleet above which the fleet is
// divided among the pools. Targets include a margin for tasks of several sizes and for errors
// of the forecast; up to this ratio the pools get machines soon enough as they become idle,
// while each division moves machines.
const divideThreshold = 2

// divide reduces the targets to each pool's share of the fleet, with hysteresis, if their sum
// exceeds divideThreshold times the fleet.
func (s *State) divide(f Fleet, pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target, now time.Time) {
	claims := s.sizer.Claims(pools, now)
	fleet, wanted := 0, 0
	for _, m := range f.Machines {
		_, underWay := s.operations[m.Machine]
		if f.Standby[m.Pool] && m.State == mothferry.MachineUp && !underWay && !f.Blocked[m.Machine] {
			fleet++
		}
	}
	for id, p := range pools {
		fleet += p.Machines
		wanted += targets[id].Machines
	}
	if float64(wanted) <= divideThreshold*float64(fleet) {
		return
	}
	for id, share := range mfpool.Divide(fleet, claims) {
		n := mfpool.ApplyHysteresis(share, pools[id].Machines)
		targets[id] = mfpool.Target{Machines: n, Retain: n}
	}
}
