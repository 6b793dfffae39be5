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

// Guards against refusing a job that can be on time, accepting one that can't, and retry times
// that are too early.
func TestAdmissionRefusesJobsThatCannotMeetTheirObjective(t *testing.T) {
	for _, k := range []struct {
		wait   time.Duration
		refuse mfshare.Reason
	}{{0, ""}, {550 * time.Millisecond, ""}, {1200 * time.Millisecond, mfshare.ReasonShare}, {time.Minute, mfshare.ReasonShare}} {
		var c mfshare.AdmissionController
		published := mfshare.Allocation{flow("s", "a"): {Wait: k.wait, Rate: 100, AcceptedRate: 10}}
		d := c.Decide(published, startTime, request(), startTime)
		assert.Equal(t, d.Refused, k.refuse, "wait %v", k.wait)
		if d.Refused != "" {
			assert.Equal(t, d.RetryAfter, k.wait-600*time.Millisecond)
		}
	}
	var c mfshare.AdmissionController
	d := c.Decide(mfshare.Allocation{flow("s", "a"): {Wait: time.Minute, Rate: 100, AtLimit: true}}, startTime, request(), startTime)
	assert.Equal(t, d.Refused, mfshare.ReasonLimit)
}

// Guards against refusals because of another account's wait.
func TestAdmissionIgnoresWaitsOfOtherFlows(t *testing.T) {
	var c mfshare.AdmissionController
	published := mfshare.Allocation{flow("s", "hot"): {Wait: time.Hour, Rate: 1}, flow("t", "a"): {Wait: time.Hour, Rate: 1}}
	for range 1000 {
		assert.Equal(t, c.Decide(published, startTime, request(), startTime).Refused, mfshare.Reason(""))
	}
}

// Guards against hosts that each accept all that arrives until the next allocation.
func TestAdmissionIsBoundedBetweenAllocations(t *testing.T) {
	published := mfshare.Allocation{flow("s", "a"): {Wait: 100 * time.Millisecond, Rate: 100, AcceptedRate: 100}}
	const hosts = 10
	accepted := 0.0
	for range hosts {
		var c mfshare.AdmissionController
		now := startTime.Add(-5 * time.Second)
		for ; now.Before(startTime); now = now.Add(time.Second) {
			// A tenth of what the account had accepted: one job a second.
			c.Decide(nil, now, request(), now)
		}
		for now = startTime; now.Before(startTime.Add(300 * time.Millisecond)); now = now.Add(time.Millisecond) {
			if c.Decide(published, startTime, request(), now).Refused == "" {
				accepted += request().Work
			}
		}
	}
	// The remaining wait allows half a second of the rate; each host accepts up to two jobs
	// more.
	assert.Assert(t, accepted >= 50, "%v", accepted)
	assert.Assert(t, accepted <= 50+2*hosts*request().Work, "%v", accepted)
}

// Guards against giving all jobs that are refused at the same time the same retry time.
func TestRetryTimesOfRefusedJobsAreStaggered(t *testing.T) {
	var c mfshare.AdmissionController
	published := mfshare.Allocation{flow("s", "a"): {Wait: 3 * time.Second, Rate: 100}}
	last := time.Duration(0)
	for range 20 {
		d := c.Decide(published, startTime, request(), startTime)
		assert.Assert(t, d.RetryAfter > last)
		last = d.RetryAfter
	}
	assert.Equal(t, last, 2400*time.Millisecond+19*100*time.Millisecond)
}
