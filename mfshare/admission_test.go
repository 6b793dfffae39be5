package mfshare_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry/mfshare"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func request() mfshare.Request {
	return mfshare.Request{Flow: flow("s", "a"), Work: 10, CriticalPath: time.Second, Objective: 2 * time.Second}
}

// Guarded against: a job is refused that could be in time, or taken in where it can't, or
// told to come back too early.
func TestAdmissionRefusesJobsThatCannotMeetTheirObjective(t *testing.T) {
	for _, k := range []struct {
		wait   time.Duration
		refuse mfshare.Reason
	}{{0, ""}, {550 * time.Millisecond, ""}, {1200 * time.Millisecond, mfshare.ReasonShare}, {time.Minute, mfshare.ReasonShare}} {
		var g mfshare.AdmissionController
		told := mfshare.Allocation{flow("s", "a"): {Wait: k.wait, Rate: 100, AcceptedRate: 10}}
		a := g.Decide(told, startTime, request(), startTime)
		assert.Equal(t, a.Refused, k.refuse, "wait %v", k.wait)
		if a.Refused != "" {
			assert.Equal(t, a.RetryAfter, k.wait-600*time.Millisecond)
		}
	}
	var g mfshare.AdmissionController
	a := g.Decide(mfshare.Allocation{flow("s", "a"): {Wait: time.Minute, Rate: 100, AtLimit: true}}, startTime, request(), startTime)
	assert.Equal(t, a.Refused, mfshare.ReasonLimit)
}

// Guarded against: another account's wait refuses a job.
func TestAdmissionIgnoresWaitsOfOtherFlows(t *testing.T) {
	var g mfshare.AdmissionController
	told := mfshare.Allocation{flow("s", "hot"): {Wait: time.Hour, Rate: 1}, flow("t", "a"): {Wait: time.Hour, Rate: 1}}
	for range 1000 {
		assert.Equal(t, g.Decide(told, startTime, request(), startTime).Refused, mfshare.Reason(""))
	}
}

// Guarded against: hosts take in between two words as much as comes, each of them.
func TestAdmissionIsBoundedBetweenAllocations(t *testing.T) {
	told := mfshare.Allocation{flow("s", "a"): {Wait: 100 * time.Millisecond, Rate: 100, AcceptedRate: 100}}
	const hosts = 10
	accepted := 0.0
	for range hosts {
		var g mfshare.AdmissionController
		now := startTime.Add(-5 * time.Second)
		for ; now.Before(startTime); now = now.Add(time.Second) {
			// A tenth of what the account had accepted: one job a second.
			g.Decide(nil, now, request(), now)
		}
		for now = startTime; now.Before(startTime.Add(300 * time.Millisecond)); now = now.Add(time.Millisecond) {
			if g.Decide(told, startTime, request(), now).Refused == "" {
				accepted += request().Work
			}
		}
	}
	// Half a second of its rate is left; two jobs more at each host.
	assert.Assert(t, accepted >= 50, "%v", accepted)
	assert.Assert(t, accepted <= 50+2*hosts*request().Work, "%v", accepted)
}

// Guarded against: all that are refused in one moment are told to come back in one moment.
func TestRetryTimesOfRefusedJobsAreStaggered(t *testing.T) {
	var g mfshare.AdmissionController
	told := mfshare.Allocation{flow("s", "a"): {Wait: 3 * time.Second, Rate: 100}}
	last := time.Duration(0)
	for range 20 {
		a := g.Decide(told, startTime, request(), startTime)
		assert.Assert(t, a.RetryAfter > last)
		last = a.RetryAfter
	}
	assert.Equal(t, last, 2400*time.Millisecond+19*100*time.Millisecond)
}
