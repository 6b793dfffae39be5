package mfduty

import (
	"time"

	"mothferry"
	"mothferry/mfpool"
)

// divideThreshold is from how many times the fleet pools' needs are divided. They hold room for
// work of several sizes and for a forecast that may be wrong; a fleet that is short by no
// more is served in time by machines as they run empty, while each division moves some.
const divideThreshold = 2

// divide cuts the targets down to the fleet if they add up to much more.
func (s *State) divide(f Fleet, pools map[mothferry.ServiceID]mfpool.Pool, targets map[mothferry.ServiceID]mfpool.Target, now time.Time) {
	claims := s.sizer.Claims(pools, now)
	fleet, wanted := 0, 0
	for _, m := range f.Machines {
		_, busy := s.operations[m.Machine]
		if f.Standby[m.Pool] && m.State == mothferry.MachineUp && !busy && !f.Blocked[m.Machine] {
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
