package mfusage

import (
	"math"
	"runtime/debug"

	"mothferry"
)

// boundFraction is the part of the host's memory that the runtime uses before it collects garbage
// more often; the rest is for the program itself and for what the kernel holds for it.
const boundFraction = 2.0 / 3

// BoundHeap makes the runtime return freed memory before the process uses up its host's; zero if that
// is not known. It leaves a bound alone that the operator has set.
func BoundHeap(memory mothferry.Bytes) {
	if memory <= 0 || debug.SetMemoryLimit(-1) != math.MaxInt64 {
		return
	}
	debug.SetMemoryLimit(int64(float64(memory) * boundFraction))
}
