package mfusage

import (
	"context"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"mothferry"
	"mothferry/mfclock"
)

const (
	// collectorInterval is how often the collector's percentage is set.
	collectorInterval = time.Second
	// heapFraction is the fraction of the host's memory up to which the heap may grow before it is
	// collected.
	heapFraction = 1.0 / 3
	// defaultPercent is Go's default, the growth of the heap between two collections in percent of
	// what is live; maxPercent is the largest one that is set.
	defaultPercent = 100
	maxPercent     = 400
)

// Collector lets the heap grow to a part of the host's memory between two garbage collections. An
// owner at a traffic peak allocates several times its live heap a second, and collecting it costs a
// good part of its processor time, while most of the host's memory is unused.
type Collector struct {
	// Memory is the host's memory; zero if it is not known.
	Memory mothferry.Bytes
	Clock  mothferry.Clock
}

// Run sets the percentage at regular intervals until ctx ends, and then the default. It leaves
// another percentage alone, which the operator has set.
func (c *Collector) Run(ctx context.Context) {
	if c.Memory <= 0 {
		return
	}
	original := debug.SetGCPercent(defaultPercent)
	defer func() { debug.SetGCPercent(original) }()
	if original != defaultPercent {
		return
	}
	percent := defaultPercent
	for {
		if next := collectorPercent(c.Memory, liveHeap()); next != percent {
			percent = next
			debug.SetGCPercent(percent)
		}
		if !mfclock.Sleep(ctx, c.Clock, collectorInterval) {
			return
		}
	}
}

// collectorPercent returns the percentage for a live heap. It is rounded to steps of 50, as each change
// stops the process for a moment.
func collectorPercent(memory, live mothferry.Bytes) int {
	if live <= 0 {
		return defaultPercent
	}
	growth := float64(memory)*heapFraction/float64(live) - 1
	return max(defaultPercent, min(maxPercent, int(math.Floor(growth*2))*50))
}

// liveHeap returns what the last collection found to be live; zero if there was none.
func liveHeap() mothferry.Bytes {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return mothferry.Bytes(sample[0].Value.Uint64())
}
