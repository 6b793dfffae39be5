package mfjob

import (
	"math"
	"time"
)

// TooLateFactor times its objective is when a job is too late, of no use any more; between the
// two it is late, of a little use.
const TooLateFactor = 3

// maxObjective keeps TooLateFactor times an objective within a duration.
const maxObjective = time.Duration(math.MaxInt64 / TooLateFactor)

// Objective returns how long a job may take to be on time: stretch times its critical path,
// plus latency, at most maxObjective.
func Objective(stretch float64, latency, criticalPath time.Duration) time.Duration {
	scaled := stretch * float64(criticalPath)
	if scaled >= float64(maxObjective) || latency >= maxObjective-time.Duration(scaled) {
		return maxObjective
	}
	return time.Duration(scaled) + latency
}
