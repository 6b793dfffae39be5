package mfsched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfsched"
	"mothferry/mfshare"
)

// configureTwoAccounts applies a config with two accounts of the same weight, one of them limited.
func (s *script) configureTwoAccounts(hotCores mothferry.Millicores) {
	s.step(mfsched.ConfigChanged{
		Queues:   map[mothferry.QueueID]mfsched.Queue{queue: {Service: service, MaxAttempts: 2, Stretch: 1.6, Latency: 3 * time.Second}},
		Accounts: map[mothferry.AccountID]mfsched.Account{"hot": {Weight: 1, Limit: mothferry.Resources{Cores: hotCores}}, "calm": {Weight: 1}},
	})
}

// submitForAccount submits a job of an account.
func (s *script) submitForAccount(account mothferry.AccountID, id mothferry.JobID, count int) {
	job := submission(s.now, count)
	job.Account = account
	s.step(mfsched.JobFound{Job: id, Submission: job})
}

// startsByAccount counts start orders by account, given by the first letter of a job's id.
func startsByAccount(s *script) map[mothferry.AccountID]int {
	out := map[mothferry.AccountID]int{}
	for _, o := range takeCommands[mfsched.Start](s) {
		id := mothferry.AccountID("hot")
		if o.Order.Task.Job[0] == 'c' {
			id = "calm"
		}
		out[id]++
	}
	return out
}

// Guards against an account that gets all capacity because it submitted first.
func TestCapacityIsDividedAmongAccounts(t *testing.T) {
	s := newScript(t)
	s.configureTwoAccounts(0)
	s.step(mfsched.JobsLoaded{})
	for _, id := range []mothferry.JobID{"h1", "h2", "h3", "h4", "h5", "h6"} {
		s.submitForAccount("hot", id, 4)
	}
	s.now = s.now.Add(time.Millisecond)
	for _, id := range []mothferry.JobID{"c1", "c2", "c3", "c4", "c5", "c6"} {
		s.submitForAccount("calm", id, 4)
	}
	s.addReadyWorker("w")
	s.advance(100 * time.Millisecond)
	assert.DeepEqual(t, startsByAccount(s), map[mothferry.AccountID]int{"hot": 8, "calm": 8})
}

// Guards against idle capacity because the only account that could use it has its fair share.
func TestUnusedShareIsGivenToOthers(t *testing.T) {
	s := newScript(t)
	s.configureTwoAccounts(0)
	s.step(mfsched.JobsLoaded{})
	s.submitForAccount("calm", "c", 2)
	for _, id := range []mothferry.JobID{"h1", "h2", "h3", "h4", "h5", "h6"} {
		s.submitForAccount("hot", id, 4)
	}
	s.addReadyWorker("w")
	s.advance(100 * time.Millisecond)
	assert.DeepEqual(t, startsByAccount(s), map[mothferry.AccountID]int{"hot": 14, "calm": 2})
}

// Guards against demand for machines by work that waits because of its account's limit.
func TestWorkBeyondLimitRequestsNoMachines(t *testing.T) {
	s := newScript(t)
	s.configureTwoAccounts(4000)
	s.step(mfsched.JobsLoaded{})
	s.addReadyWorker("w")
	s.submitForAccount("hot", "h", 40)
	s.advance(100 * time.Millisecond)
	assert.DeepEqual(t, startsByAccount(s), map[mothferry.AccountID]int{"hot": 4})
	d := s.state.Demands(s.now)[service]
	assert.Equal(t, d.Ready.Cores, 0.0)
	assert.Equal(t, d.Running.Cores, 4.0)
	s.state.Off = mothferry.FeaturesOff{mothferry.FeatureShares: true}
	assert.Equal(t, s.state.Demands(s.now)[service].Ready.Cores, 36.0)
}

// Guards against shares that apply although the config has no accounts or the feature is off.
func TestSharesRequireAccounts(t *testing.T) {
	s := newScript(t)
	s.step(mfsched.JobsLoaded{})
	s.submit("j", 40)
	assert.Assert(t, s.state.Allocations(s.now) == nil)
	s.configureTwoAccounts(4000)
	assert.Assert(t, s.state.Allocations(s.now) != nil)
	s.state.Off = mothferry.FeaturesOff{mothferry.FeatureShares: true}
	assert.Assert(t, s.state.Allocations(s.now) == nil)
}

// Guards against lasting tasks whose usage counts as an unused part of their account's limit.
func TestLastingTasksCountAgainstLimit(t *testing.T) {
	s := newScript(t)
	s.configureTwoAccounts(4000)
	s.step(mfsched.JobsLoaded{})
	s.addReadyWorker("w")
	lasting := submission(s.now, 3)
	lasting.Account, lasting.Steps[0].Lasting = "hot", true
	s.step(mfsched.JobFound{Job: "h-lasts", Submission: lasting})
	s.advance(100 * time.Millisecond)
	assert.Equal(t, len(takeCommands[mfsched.Start](s)), 3)
	s.submitForAccount("hot", "h", 40)
	share := s.state.Allocations(s.now)[mfshare.Flow{Service: service, Account: "hot"}]
	assert.Equal(t, share.Rate, 1.0)
	assert.Assert(t, share.AtLimit)
}

// Guards against operators' counts of a job under another outcome than its caller saw.
func TestEndsAreCountedByObjective(t *testing.T) {
	s := newScript(t)
	s.configureTwoAccounts(0)
	s.addReadyWorker("w")
	s.submitForAccount("calm", "c", 1)
	s.submitForAccount("hot", "h", 1)
	s.step(mfsched.CancelRequested{Job: "h"})
	s.advance(50 * time.Millisecond)
	o := takeCommands[mfsched.Start](s)[0]
	s.answerStart(o, mfsched.ResultDone, "")
	s.now = s.now.Add(5 * time.Second)
	s.answerPoll("w", mothferry.PollReport{Ended: []mothferry.EndedTask{{Number: 1, Task: o.Order.Task, Run: 1, Cause: mothferry.EndDone}}})
	assert.DeepEqual(t, takeCommands[mfsched.JobEnd](s), []mfsched.JobEnd{
		{Queue: queue, Account: "hot", End: mfsched.EndCancelled}, {Queue: queue, Account: "calm", End: mfsched.EndLate},
	})
}
