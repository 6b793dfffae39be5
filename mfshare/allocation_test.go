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

// Guarded against: what an account's own limit keeps waiting makes all others wait.
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

// Guarded against: an account's limit is taken for cores alone while memory binds.
func TestTighterOfCoresAndMemoryBounds(t *testing.T) {
	s := mfshare.Allocate(mfshare.AllocationInput{
		Listed:   map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 1000, Memory: 4000}},
		Accounts: map[mothferry.AccountID]mfshare.Entitlement{"a": {Weight: 1, Limit: mfdemand.Amount{Cores: 500, Memory: 200}, Limited: true}},
		Loads:    []mfshare.Load{{Flow: flow("s", "a"), Waiting: mfdemand.Amount{Cores: 300, Memory: 1200}, Ready: mfdemand.Amount{Cores: 300, Memory: 1200}}},
	})
	assert.Equal(t, s[flow("s", "a")].Rate, 50.0, "%+v", s)
	assert.Equal(t, s[flow("s", "a")].Wait, 6*time.Second)
}

// Guarded against: machines that other services need count as ones that can come.
func TestMachinesInUseByOtherServicesAreNotAvailable(t *testing.T) {
	situation := mfshare.AllocationInput{
		Listed: map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 100}, "t": {Cores: 900}}, Fleet: 1000,
		Loads: []mfshare.Load{{Flow: flow("s", "a"), Waiting: mfdemand.Amount{Cores: 1000}, Ready: mfdemand.Amount{Cores: 1000}}},
	}
	alone := mfshare.Allocate(situation)[flow("s", "a")].Wait
	situation.Loads = append(situation.Loads, mfshare.Load{Flow: flow("t", "a"), Waiting: mfdemand.Amount{Cores: 5000}, Ready: mfdemand.Amount{Cores: 5000}})
	assert.Equal(t, mfshare.Allocate(situation)[flow("s", "a")].Wait.Round(time.Millisecond), (5 * alone).Round(time.Millisecond))
}

// Guarded against: an account within its part waits longer because another sends more.
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
		most := own / min(own+1, mfshare.PackingEfficiency*cores*2/weights)
		assert.Assert(t, s[flow("s", "calm")].Wait.Seconds() <= most+slack, "%v", s[flow("s", "calm")])
	})
}

// Guarded against: the owner's word grows without bound, or leaves the longest waits out.
func TestLongestWaitsArePublished(t *testing.T) {
	s := mfshare.Allocation{}
	for i := range 3 * mfshare.MaxPublished {
		s[flow("s", mothferry.AccountID(fmt.Sprint(i)))] = mfshare.FlowShare{Wait: time.Duration(i+1) * time.Millisecond}
	}
	told := s.Published(map[mothferry.ServiceID]time.Duration{"s": 100 * time.Millisecond})
	assert.Equal(t, len(told), mfshare.MaxPublished)
	for _, e := range told {
		assert.Assert(t, e.Wait > 2*mfshare.MaxPublished*time.Millisecond)
	}
	assert.Equal(t, len(s.Published(map[mothferry.ServiceID]time.Duration{"s": time.Hour})), 0)
}

// Guards against jobs that are refused beside idle workers because of steps whose turn has not come.
func TestWorkWithOpenDependenciesAloneCausesNoWait(t *testing.T) {
	load := mfshare.Load{Flow: flow("s", "a"), Waiting: mfdemand.Amount{Cores: 5000}, AcceptedRate: mfdemand.Amount{Cores: 10}}
	situation := mfshare.AllocationInput{Listed: map[mothferry.ServiceID]mfdemand.Amount{"s": {Cores: 1000}}, Fleet: 1000}
	wait := func() time.Duration {
		situation.Loads = []mfshare.Load{load}
		return mfshare.Allocate(situation)[flow("s", "a")].Wait
	}
	assert.Equal(t, wait(), time.Duration(0))
	load.Ready.Cores = 500
	half := wait()
	load.Ready.Cores = 5000
	assert.Assert(t, half > 0 && half < wait()/2, "%v", half)
}
