package mfshare_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfdemand"
	"mothferry/mfshare"
)

func flow(service mothferry.ServiceID, id mothferry.AccountID) mfshare.Flow {
	return mfshare.Flow{Service: service, Account: id}
}

// Guards against an account's limit delaying the work of other accounts.
func TestAccountLimitDelaysOnlyItsOwnAccount(t *testing.T) {
	s := mfshare.Allocate(mfshare.AllocationInput{
		Listed: map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 1000}}, Fleet: 1000,
		Accounts: map[mothferry.AccountID]mfshare.Entitlement{
			"hot": {Weight: 10, Limit: mfdemand.Amount{Cores: 100}, Limited: true}, "calm": {Weight: 1},
		},
		Loads: []mfshare.Load{
			{Flow: flow("s", "hot"), Waiting: mfdemand.Amount{Cores: 2000}, Ready: mfdemand.Amount{Cores: 2000}, AcceptedRate: mfdemand.Amount{Cores: 300}},
			{Flow: flow("s", "calm"), Waiting: mfdemand.Amount{Cores: 20}, Ready: mfdemand.Amount{Cores: 20}, AcceptedRate: mfdemand.Amount{Cores: 50}},
		},
	})
	hot, calm := s[flow("s", "hot")], s[flow("s", "calm")]
	assert.Equal(t, hot.Wait, 20*time.Second)
	assert.Assert(t, hot.AtLimit)
	assert.Assert(t, calm.Wait < 50*time.Millisecond, "%v", calm.Wait)
	assert.Assert(t, !calm.AtLimit)
}

// Guards against applying an account's limit to cores alone where memory is the scarcer
// resource.
func TestTighterOfCoresAndMemoryBounds(t *testing.T) {
	s := mfshare.Allocate(mfshare.AllocationInput{
		Listed:   map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 1000, Memory: 4000}},
		Accounts: map[mothferry.AccountID]mfshare.Entitlement{"a": {Weight: 1, Limit: mfdemand.Amount{Cores: 500, Memory: 200}, Limited: true}},
		Loads:    []mfshare.Load{{Flow: flow("s", "a"), Waiting: mfdemand.Amount{Cores: 300, Memory: 1200}, Ready: mfdemand.Amount{Cores: 300, Memory: 1200}}},
	})
	assert.Equal(t, s[flow("s", "a")].Rate, 50.0, "%+v", s)
	assert.Equal(t, s[flow("s", "a")].Wait, 6*time.Second)
}

// Guards against counting machines that other services need as available to a pool.
func TestMachinesInUseByOtherServicesAreNotAvailable(t *testing.T) {
	input := mfshare.AllocationInput{
		Listed: map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 100}, "t": {Cores: 900}}, Fleet: 1000,
		Loads: []mfshare.Load{{Flow: flow("s", "a"), Waiting: mfdemand.Amount{Cores: 1000}, Ready: mfdemand.Amount{Cores: 1000}}},
	}
	alone := mfshare.Allocate(input)[flow("s", "a")].Wait
	input.Loads = append(input.Loads, mfshare.Load{Flow: flow("t", "a"), Waiting: mfdemand.Amount{Cores: 5000}, Ready: mfdemand.Amount{Cores: 5000}})
	assert.Equal(t, mfshare.Allocate(input)[flow("s", "a")].Wait.Round(time.Millisecond), (5 * alone).Round(time.Millisecond))
}

// Guards against a longer wait for an account within its share because another account sends
// more.
func TestWaitWithinShareIsIndependentOfOtherAccounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := map[mothferry.AccountID]mfshare.Entitlement{"calm": {Weight: 2}}
		own := rapid.Float64Range(1, 20).Draw(t, "own")
		loads := []mfshare.Load{{Flow: flow("s", "calm"), Waiting: mfdemand.Amount{Cores: own}, Ready: mfdemand.Amount{Cores: own}, AcceptedRate: mfdemand.Amount{Cores: 1}}}
		weights := 2.0
		for i := range rapid.IntRange(1, 5).Draw(t, "others") {
			id := mothferry.AccountID(fmt.Sprint("o", i))
			weight := rapid.Float64Range(1, 5).Draw(t, "weight")
			weights += weight
			accounts[id] = mfshare.Entitlement{Weight: weight}
			loads = append(loads, mfshare.Load{Flow: flow("s", id), Waiting: mfdemand.Amount{Cores: rapid.Float64Range(0, 1e6).Draw(t, "waiting")}, Ready: mfdemand.Amount{Cores: rapid.Float64Range(0, 1e6).Draw(t, "waiting")}})
		}
		const cores = 400
		s := mfshare.Allocate(mfshare.AllocationInput{Listed: map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: cores}}, Accounts: accounts, Loads: loads})
		maxWait := own / min(own+1, mfshare.PackingEfficiency*cores*2/weights)
		assert.Assert(t, s[flow("s", "calm")].Wait.Seconds() <= maxWait+tolerance, "%v", s[flow("s", "calm")])
	})
}

// Guards against an allocation that grows without bound or leaves out the longest waits.
func TestLongestWaitsArePublished(t *testing.T) {
	s := mfshare.Allocation{}
	for i := range 3 * mfshare.MaxPublished {
		s[flow("s", mothferry.AccountID(fmt.Sprint(i)))] = mfshare.FlowShare{Wait: time.Duration(i+1) * time.Millisecond}
	}
	published := s.Published(map[mothferry.ServiceID]time.Duration{"s": 100 * time.Millisecond})
	assert.Equal(t, len(published), mfshare.MaxPublished)
	for _, e := range published {
		assert.Assert(t, e.Wait > 2*mfshare.MaxPublished*time.Millisecond)
	}
	assert.Equal(t, len(s.Published(map[mothferry.ServiceID]time.Duration{"s": time.Hour})), 0)
}

// Guards against refusing jobs while workers are idle, because of steps whose dependencies are
// not done.
func TestWorkWithOpenDependenciesAloneCausesNoWait(t *testing.T) {
	load := mfshare.Load{Flow: flow("s", "a"), Waiting: mfdemand.Amount{Cores: 5000}, AcceptedRate: mfdemand.Amount{Cores: 10}}
	input := mfshare.AllocationInput{Listed: map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 1000}}, Fleet: 1000}
	wait := func() time.Duration {
		input.Loads = []mfshare.Load{load}
		return mfshare.Allocate(input)[flow("s", "a")].Wait
	}
	assert.Equal(t, wait(), time.Duration(0))
	load.Ready.Cores = 500
	half := wait()
	load.Ready.Cores = 5000
	assert.Assert(t, half > 0 && half < wait()/2, "%v", half)
}
