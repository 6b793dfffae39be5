package mfsched

import (
	"maps"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfdecay"
	"mothferry/mfdemand"
	"mothferry/mfshare"
)

// acceptedDecayTime is how long an accepted job counts in its account's rate of work.
const acceptedDecayTime = 2 * time.Second

// recentWork is the work of a flow that came lately.
type recentWork struct{ cores, memory mfdecay.Sum }

// sharesEnabled reports whether room is divided among client accounts.
func (s *State) sharesEnabled() bool { return s.hasAccounts && !s.Off[mothferry.FeatureShares] }

// recordRecentWork counts a job that came for its account.
func (s *State) recordRecentWork(j *job, service mothferry.ServiceID, now time.Time) {
	flow := mfshare.Flow{Service: service, Account: j.submission.Account}
	f, ok := s.recentWork[flow]
	if !ok {
		f = &recentWork{}
		s.recentWork[flow] = f
	}
	sum := mfdemand.Amount{}
	for i := range j.submission.Steps {
		of := &j.submission.Steps[i]
		sum = sum.Add(mfdemand.AmountOf(of.Need).Times(of.Estimate.Seconds() * float64(of.Count)))
	}
	f.cores.Add(sum.Cores, acceptedDecayTime, now)
	f.memory.Add(sum.Memory, acceptedDecayTime, now)
}

// Allocations returns each account's share of each service and how long its work waits; nil
// where room is not divided among accounts.
func (s *State) Allocations(now time.Time) mfshare.Allocation {
	if !s.sharesEnabled() {
		return nil
	}
	return mfshare.Allocate(s.allocationInputs(now))
}

// allocationInputs gathers what accounts' shares follow from.
func (s *State) allocationInputs(now time.Time) mfshare.AllocationInput {
	e := mfshare.AllocationInput{
		Listed: map[mothferry.ServiceID]mfdemand.Amount{}, Lasting: map[mothferry.ServiceID]mfdemand.Amount{},
		Fleet: s.fleetCores, Accounts: map[mothferry.AccountID]mfshare.Entitlement{},
	}
	lasting := map[mothferry.AccountID]mfdemand.Amount{}
	for _, w := range s.sortedWorkers {
		if w.listed && !w.Draining {
			e.Listed[w.Service] = e.Listed[w.Service].Add(mfdemand.AmountOf(w.Capacity))
		}
		for _, t := range w.tasks {
			if t.step.spec.Lasting {
				e.Lasting[w.Service] = e.Lasting[w.Service].Add(mfdemand.AmountOf(t.step.spec.Room()))
				lasting[t.job.submission.Account] = lasting[t.job.submission.Account].Add(mfdemand.AmountOf(t.step.spec.Need))
			}
		}
	}
	loads := map[mfshare.Flow]mfshare.Load{}
	for flow, f := range s.recentWork {
		cores := f.cores.Rate(acceptedDecayTime, now)
		if cores < minFlowRate {
			delete(s.recentWork, flow)
			continue
		}
		loads[flow] = mfshare.Load{Flow: flow, AcceptedRate: mfdemand.Amount{Cores: cores, Memory: f.memory.Rate(acceptedDecayTime, now)}}
	}
	for _, id := range slices.Sorted(maps.Keys(s.live)) {
		j := s.live[id]
		q := s.queueOf(j)
		flow := mfshare.Flow{Service: q.Service, Account: j.submission.Account}
		if waits, turn := s.waitingWorkInTime(j, q, now); waits.Cores > 0 {
			l := loads[flow]
			l.Flow, l.Waiting, l.Ready, l.Jobs = flow, l.Waiting.Add(waits), l.Ready.Add(turn), l.Jobs+1
			loads[flow] = l
		}
	}
	for _, flow := range slices.SortedFunc(maps.Keys(loads), mfshare.Flow.Compare) {
		e.Loads = append(e.Loads, loads[flow])
		e.Accounts[flow.Account] = s.entitlement(flow.Account, lasting[flow.Account])
	}
	return e
}

// minFlowRate is the rate of work, in cores, below which it counts as none.
const minFlowRate = 0.01

// entitlement returns what an account is owed, and may have beside its lasting tasks.
func (s *State) entitlement(id mothferry.AccountID, lasting mfdemand.Amount) mfshare.Entitlement {
	a, ok := s.accounts[id]
	if !ok {
		return mfshare.Entitlement{}
	}
	most := mfdemand.AmountOf(a.Limit)
	o := mfshare.Entitlement{Weight: a.Weight, Limited: most.Cores > 0 || most.Memory > 0}
	// Zero is no bound: what lasting tasks leave stays above it.
	if most.Cores > 0 {
		o.Limit.Cores = max(minRemaining, most.Cores-lasting.Cores)
	}
	if most.Memory > 0 {
		o.Limit.Memory = max(minRemaining, most.Memory-lasting.Memory)
	}
	return o
}

// minRemaining is the least of a bounded resource that counts as left, in cores or GiB.
const minRemaining = 0.001

// waitingWorkInTime returns the work of a job that waits and can be in time, and the part of it
// whose turn has come.
func (s *State) waitingWorkInTime(j *job, q Queue, now time.Time) (sum, turn mfdemand.Amount) {
	for _, o := range j.occurrences {
		if o.scheduledAt.After(now) {
			break
		}
		if p, _ := s.classify(j, o, q, now); p != classOnTime && p != classOverRate {
			continue
		}
		for _, p := range o.steps {
			waits := taskWork(p.spec).Times(float64(p.waiting))
			sum = sum.Add(waits)
			if dependenciesDone(o, p) {
				turn = turn.Add(waits)
			}
		}
	}
	return sum, turn
}

// NoticeableWaits returns the shortest wait that matters to callers of each service: half of what
// its queues' objectives leave beside a job's own work.
func (s *State) NoticeableWaits() map[mothferry.ServiceID]time.Duration {
	out := map[mothferry.ServiceID]time.Duration{}
	for _, q := range s.queues {
		if known, ok := out[q.Service]; !ok || q.Latency/2 < known {
			out[q.Service] = q.Latency / 2
		}
	}
	return out
}
