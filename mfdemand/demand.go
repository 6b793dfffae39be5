// Package mfdemand describes the demand for services: arriving work, forecast for the time
// when machines sent now could be there, and waiting work.
package mfdemand

// Demand is the demand for a service.
type Demand struct {
	// Arriving is the capacity that keeps up with the jobs that arrive now, Forecast with
	// those that arrive once machines sent now could be there.
	Arriving, Forecast Amount
	// Running is the capacity taken by assigned tasks that end by themselves.
	Running Amount
	// ReadyWork is the waiting work whose dependencies are done, in core-seconds and
	// GiB-seconds, and Ready the capacity it could use at once; both without work that is too
	// late to be useful.
	ReadyWork, Ready Amount
	// OnTimeWork is the part of ReadyWork that can still be on time, OnTimeReady that of
	// Ready.
	OnTimeWork, OnTimeReady Amount
	// Lasting is the capacity that lasting tasks need.
	Lasting Amount
	// MinWorkers is the number of workers that the most widely spread lasting step needs.
	MinWorkers int
}
