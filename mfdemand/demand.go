// Package mfdemand holds what services are asked for: the work that comes, forecast for
// the time until machines could be there, and the work that waits.
package mfdemand

// Demand is what a service is asked for.
type Demand struct {
	// Arriving is what keeps up with the jobs that come now, Coming with those that
	// come once machines could be there that are sent now.
	Arriving, Forecast Amount
	// Running is what tasks have that run and end by themselves.
	Running Amount
	// ReadyWork is the work whose turn has come and that waits, in core-seconds and
	// GiB-seconds, and Ready what it could use at once; both without what is hopeless.
	ReadyWork, Ready Amount
	// OnTimeWork is the part of ReadyWork that can still be in time, PromptReady that of
	// Ready.
	OnTimeWork, OnTimeReady Amount
	// Lasting is what lasting tasks ask for.
	Lasting Amount
	// MinWorkers is the number of workers that the most spread lasting step needs.
	MinWorkers int
}
