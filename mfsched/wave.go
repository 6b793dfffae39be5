package mfsched

import (
	"time"

	"mothferry"
)

// Wave asks that each of some machines has its upkeep in time, with at most
// so many down at once.
type Wave struct {
	Wave     mothferry.WaveID
	Machines []mothferry.MachineID
	Within   time.Duration
	MaxDown  int
}
