package mfowner

import (
	"fmt"
	"time"

	"github.com/apex/log"
)

// activityInterval is how often the owner logs a summary of its activity and of the load of
// its shard. One line per second replaces counting thousands of lines.
const activityInterval = time.Second

// activity counts what the owner did since the last summary.
type activity struct {
	since            time.Time
	commits          int
	rows             int
	maxCommitLatency time.Duration
	rounds           int
	// omittedBefore is how many checkpoints had been left out of rows by then.
	omittedBefore int
}

func (a *activity) committed(took time.Duration) {
	a.commits++
	a.maxCommitLatency = max(a.maxCommitLatency, took)
}

// logActivity logs the summary when it is due, unless there are no live jobs.
func (s *session) logActivity(now time.Time) {
	a := &s.activity
	if a.since.IsZero() {
		a.since = now
	}
	a.rounds++
	if now.Sub(a.since) < activityInterval {
		return
	}
	if s.owner.OnSlowWorkers != nil {
		s.owner.OnSlowWorkers(s.state.SlowWorkers())
	}
	g := s.state.Gauge(now)
	if g.Live > 0 {
		fields := log.Fields{
			"epoch": s.state.Epoch, "ms": now.Sub(a.since).Milliseconds(), "commits": a.commits, "rows": a.rows,
			"longest_commit_ms": a.maxCommitLatency.Milliseconds(), "rounds": a.rounds, "jobs": g.Live, "unstored": g.Dirty,
		}
		if omitted := s.journal.Omitted - a.omittedBefore; omitted > 0 {
			fields["checkpoints_omitted"] = omitted
		}
		for service, p := range g.Pools {
			fields[string(service)] = fmt.Sprintf("workers %d usable %d cores %.2f memory %.2f waiting %d running %d", p.Listed, p.Usable, p.Cores, p.Memory, p.Waiting, p.Running)
		}
		s.owner.Log.WithFields(fields).Info("shard activity")
	}
	*a = activity{since: now, omittedBefore: s.journal.Omitted}
}
