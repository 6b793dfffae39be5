package mffleet

import (
	"math"
	"net/http"

	"mothferry"
	"mothferry/mfguard"
)

const (
	// defaultMemory is assumed for a host whose memory is not known.
	defaultMemory = 256 * mothferry.Mebibyte
	// callersMemoryDivisor is the part of a host's memory that callers may hold; the rest is for the
	// owner's state.
	callersMemoryDivisor = 4
	// descriptorDivisor is the part of a host's descriptors for sockets that callers may hold. Their
	// requests take as many connections to the store; the rest is for the owner's links.
	descriptorDivisor = 3
	// fileDescriptors are descriptors that sockets don't use.
	fileDescriptors = 200
	// checksMemoryDivisor and defaultChecksConnections bound the balancer's checks, and readers of metrics.
	checksMemoryDivisor      = 64
	defaultChecksConnections = 32
)

// callersBudget returns the budget of callers' requests.
func (s Settings) callersBudget() mfguard.Budget {
	memory, connections := s.CallersMemory, s.CallersConnections
	if memory == 0 {
		memory = s.knownMemory() / callersMemoryDivisor
	}
	if connections == 0 {
		connections = math.MaxInt
		if s.Descriptors > 0 {
			connections = max(0, s.Descriptors-fileDescriptors) / descriptorDivisor
		}
	}
	budget := mfguard.NewBudget(memory, connections)
	if s.CallersSentAhead > 0 {
		budget.SentAhead = s.CallersSentAhead
	}
	return budget
}

// checksBudget returns the budget of the balancer's checks, and that of readers of metrics.
func (s Settings) checksBudget() mfguard.Budget {
	connections := s.ChecksConnections
	if connections == 0 {
		connections = defaultChecksConnections
	}
	return mfguard.NewBudget(s.knownMemory()/checksMemoryDivisor, connections)
}

func (s Settings) knownMemory() mothferry.Bytes {
	if s.Memory > 0 {
		return s.Memory
	}
	return defaultMemory
}

// serveCallers starts the server of callers' requests.
func (d *Daemon) serveCallers() (*mfguard.Server, error) {
	server := d.server("callers", d.Settings.Callers, d.Adapter.CallersHandler(d))
	server.Budget, server.Limits = d.Settings.callersBudget(), d.callersLimits
	return server, server.Listen()
}

// serveChecks starts a server of the balancer's checks or of metrics, which the limits of the config are
// not about.
func (d *Daemon) serveChecks(name, address string, handler http.Handler) (*mfguard.Server, error) {
	server := d.server(name, address, handler)
	server.Budget, server.Limits = d.Settings.checksBudget(), func() mfguard.Limits { return mfguard.Limits{} }
	return server, server.Listen()
}

func (d *Daemon) server(name, address string, handler http.Handler) *mfguard.Server {
	return &mfguard.Server{Name: name, Address: address, Handler: handler, Clock: d.Clock, Log: d.Log("server"), Metrics: d.serverMetrics}
}

// callersLimits returns the limits of requests that the config in force sets.
func (d *Daemon) callersLimits() mfguard.Limits {
	c := d.Config()
	if c == nil {
		return mfguard.Limits{}
	}
	return mfguard.Limits{
		HeaderBytes: c.Limits.HeaderBytes, BodyBytes: c.Limits.BodyBytes,
		HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
	}
}
