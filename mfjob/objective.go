package mfjob

import "time"

// TooLateFactor times its objective is when a job is too late, of no use any more; between the
// two it is late, of a little use.
const TooLateFactor = 3

// Objective returns how long a job may take to be on time: stretch times its critical path,
// plus latency.
func Objective(stretch float64, latency, criticalPath time.Duration) time.Duration {
	return time.Duration(stretch*float64(criticalPath)) + latency
}
