package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// divide brings a config with two accounts of the same weight, one of them with a limit.
func (s *script) divide(hotCores mothferry.Millicores) {
	s.step(mfsched.ConfigChanged{
		Queues:   map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 3 * time.Second}},
		Accounts: map[mothferry.AccountID]mfsched.Account{"hot": {Weight: 1, Most: mothferry.Resources{Cores: hotCores}}, "calm": {Weight: 1}},
	})
}

// submitOf hands a job of an account in.
func (s *script) submitOf(account mothferry.AccountID, id mothferry.JobID, count int) {
	job := submission(s.now, count)
	job.Account = account
	s.step(mfsched.JobFound{Job: id, Submission: job})
}

// startsOf counts orders to start by the account that a job's id begins with.
func startsOf(s *script) map[mothferry.AccountID]int {
	out := map[mothferry.AccountID]int{}
	for _, o := range taken[mfsched.Start](s) {
		id := mothferry.AccountID("hot")
		if o.Order.Task.Job[0] == 'c' {
			id = "calm"
		}
		out[id]++
	}
	return out
}

// Guarded against: an account that came first with more than the room takes all of it.
func TestRoomIsDividedAmongAccounts(t *testing.T) {
	s := newScript(t)
	s.divide(0)
	s.step(mfsched.JobsLoaded{})
	for _, id := range []mothferry.JobID{"h1", "h2", "h3", "h4", "h5", "h6"} {
		s.submitOf("hot", id, 4)
	}
	s.now = s.now.Add(time.Millisecond)
	for _, id := range []mothferry.JobID{"c1", "c2", "c3", "c4", "c5", "c6"} {
		s.submitOf("calm", id, 4)
	}
	s.readyWorker("w")
	s.pass(100 * time.Millisecond)
	assert.DeepEqual(t, startsOf(s), map[mothferry.AccountID]int{"hot": 8, "calm": 8})
}

// Guarded against: room stays idle because the account that could use it has its part.
func TestRoomThatOthersLeaveIsUsed(t *testing.T) {
	s := newScript(t)
	s.divide(0)
	s.step(mfsched.JobsLoaded{})
	s.submitOf("calm", "c", 2)
	for _, id := range []mothferry.JobID{"h1", "h2", "h3", "h4", "h5", "h6"} {
		s.submitOf("hot", id, 4)
	}
	s.readyWorker("w")
	s.pass(100 * time.Millisecond)
	assert.DeepEqual(t, startsOf(s), map[mothferry.AccountID]int{"hot": 14, "calm": 2})
}

// Guarded against: machines are asked for by work that its account's limit keeps waiting.
func TestWorkBeyondALimitAsksForNoMachines(t *testing.T) {
	s := newScript(t)
	s.divide(4000)
	s.step(mfsched.JobsLoaded{})
	s.readyWorker("w")
	s.submitOf("hot", "h", 40)
	s.pass(100 * time.Millisecond)
	assert.DeepEqual(t, startsOf(s), map[mothferry.AccountID]int{"hot": 4})
	d := s.state.Demands(s.now)[service]
	assert.Equal(t, d.Ready.Cores, 0.0)
	assert.Equal(t, d.Running.Cores, 4.0)
	s.state.Off = mothferry.FeaturesOff{mothferry.FeatureShares: true}
	assert.Equal(t, s.state.Demands(s.now)[service].Ready.Cores, 36.0)
}

// Guarded against: shares act where the config names no accounts, or where they are switched off.
func TestSharesNeedAccounts(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	s.submit("j", 40)
	assert.Assert(t, s.state.Standing(s.now) == nil)
	s.divide(4000)
	assert.Assert(t, s.state.Standing(s.now) != nil)
	s.state.Off = mothferry.FeaturesOff{mothferry.FeatureShares: true}
	assert.Assert(t, s.state.Standing(s.now) == nil)
}

// Guarded against: lasting tasks count as a part of its limit that an account can still use.
func TestLastingTasksTakeOfTheLimit(t *testing.T) {
	s := newScript(t)
	s.divide(4000)
	s.step(mfsched.JobsLoaded{})
	s.readyWorker("w")
	lasts := submission(s.now, 3)
	lasts.Account, lasts.Steps[0].Lasting = "hot", true
	s.step(mfsched.JobFound{Job: "h-lasts", Submission: lasts})
	s.pass(100 * time.Millisecond)
	assert.Equal(t, len(taken[mfsched.Start](s)), 3)
	s.submitOf("hot", "h", 40)
	e := s.state.Standing(s.now)[mfshare.Flow{Service: service, Account: "hot"}]
	assert.Equal(t, e.Rate, 1.0)
	assert.Assert(t, e.Limit)
}

// Guarded against: operators count a job under another end than its caller saw.
func TestEndsAreCountedByObjective(t *testing.T) {
	s := newScript(t)
	s.divide(0)
	s.readyWorker("w")
	s.submitOf("calm", "c", 1)
	s.submitOf("hot", "h", 1)
	s.step(mfsched.CancelFound{Job: "h"})
	s.pass(50 * time.Millisecond)
	o := taken[mfsched.Start](s)[0]
	s.answerStart(o, mfsched.ResultDone, "")
	s.now = s.now.Add(5 * time.Second)
	s.look("w", mothferry.LookReport{Ended: []mothferry.EndedTask{{Number: 1, Task: o.Order.Task, Run: 1, Cause: mothferry.EndDone}}})
	assert.DeepEqual(t, taken[mfsched.JobEnd](s), []mfsched.JobEnd{
		{Queue: queue, Account: "hot", End: mfsched.EndCancelled}, {Queue: queue, Account: "calm", End: mfsched.EndLate},
	})
}
