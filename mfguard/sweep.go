package mfguard

import (
	"context"
	"time"

	"github.com/apex/log"

	"mothferry/mfclock"
)

const (
	// sweepInterval is how often timeouts are checked.
	sweepInterval = 500 * time.Millisecond
	// logInterval is how often at most a line about ended connections is logged.
	logInterval = time.Second
)

// sweep ends connections that hold a place for too long, and logs how many were ended.
func (s *Server) sweep(ctx context.Context) {
	var logged time.Time
	for mfclock.Sleep(ctx, s.Clock, sweepInterval) {
		s.pool.expire(s.limits())
		if now := s.Clock.Now(); now.Sub(logged) >= logInterval && s.logEnded() {
			logged = now
		}
	}
}

// logEnded logs how many connections were ended since the last line, and reports whether there were any.
func (s *Server) logEnded() bool {
	counts := s.Metrics.takeCounts(s.Name)
	delete(counts, endIdle)
	if len(counts) == 0 {
		return false
	}
	connections, reserved := s.pool.usage()
	fields := log.Fields{"server": s.Name, "connections": connections, "reserved_bytes": reserved, "budget_bytes": s.Budget.Memory, "budget_connections": s.Budget.Connections}
	for reason, count := range counts {
		fields["ended_"+string(reason)] = count
	}
	s.Log.WithFields(fields).Warn("connections of clients were ended")
	return true
}
