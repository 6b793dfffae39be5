package mfjob

import "time"

// TooLateFactor times its objective is when a job is of no use any more; between both it
// is of a little use.
const TooLateFactor = 3

// Objective returns how long a job may take to be in time: stretch times its longest
// chain of work, and latency more.
func Objective(stretch float64, latency, chain time.Duration) time.Duration {
	return time.Duration(stretch*float64(chain)) + latency
}
