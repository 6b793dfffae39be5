package mothferry

import "time"

// Clock is the source of time. It is passed as a parameter so that tests can
// run decisions without waiting. Values of Now carry a monotonic reading, which
// lease checks rely on.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// Random is the source of randomness. Implementations shared between
// goroutines must be safe for concurrent use.
type Random interface {
	// IntN returns a number from 0 up to, but not including, n.
	IntN(n int) int
	// Float64 returns a number from 0 up to, but not including, 1.
	Float64() float64
}
