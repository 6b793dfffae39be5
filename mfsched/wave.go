package mfsched

import (
	"time"

	"mothferry"
)

// Wave asks for maintenance of some machines within a time, with at most MaxDown of them down
// at once.
type Wave struct {
	Wave     mothferry.WaveID
	Machines []mothferry.MachineID
	Within   time.Duration
	MaxDown  int
}
