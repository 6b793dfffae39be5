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

// acceptedDecayTime is the decay time of a flow's rate of accepted work.
const acceptedDecayTime = 2 * time.Second

// recentWork is a flow's recently accepted work.
type recentWork struct{ cores, memory mfdecay.Sum }

// sharesEnabled reports whether capacity is divided among client accounts.
func (s *State) sharesEnabled() bool { return s.hasAccounts && !s.Off[mothferry.FeatureShares] }

// recordRecentWork adds an accepted job to its flow's recent work.
func (s *State) recordRecentWork(j *job, service mothferry.ServiceID, now time.Time) {
	flow := mfshare.Flow{Service: service, Account: j.submission.Account}
	f, ok := s.recentWork[flow]
	if !ok {
		f = &recentWork{}
		s.recentWork[flow] = f
	}
	sum := mfdemand.Amount{}
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		sum = sum.Add(mfdemand.AmountOf(spec.Need).Times(spec.Estimate.Seconds() * float64(spec.Count)))
	}
	f.cores.Add(sum.Cores, acceptedDecayTime, now)
	f.memory.Add(sum.Memory, acceptedDecayTime, now)
}

// Allocations returns each account's share of each service and how long its work waits; nil if
// capacity is not divided among accounts.
func (s *State) Allocations(now time.Time) mfshare.Allocation {
	if !s.sharesEnabled() {
		return nil
	}
	return mfshare.Allocate(s.allocationInputs(now))
}

// allocationInputs gathers the inputs of the accounts' allocations.
func (s *State) allocationInputs(now time.Time) mfshare.AllocationInput {
	in := mfshare.AllocationInput{
		Listed: map[mothferry.ServiceID]mfdemand.Amount{}, Lasting: map[mothferry.ServiceID]mfdemand.Amount{},
		Fleet: s.fleetCores, Accounts: map[mothferry.AccountID]mfshare.Entitlement{},
	}
	lasting := map[mothferry.AccountID]mfdemand.Amount{}
	for _, w := range s.sortedWorkers {
		if w.addsCapacity() {
			in.Listed[w.Service] = in.Listed[w.Service].Add(mfdemand.AmountOf(w.Capacity))
		}
		for _, t := range w.tasks {
			if t.step.spec.Lasting {
				in.Lasting[w.Service] = in.Lasting[w.Service].Add(mfdemand.AmountOf(t.step.spec.Reservation()))
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
		if waiting, ready := s.waitingWorkOnTime(j, q, now); waiting.Cores > 0 {
			l := loads[flow]
			l.Flow, l.Waiting, l.Ready, l.Jobs = flow, l.Waiting.Add(waiting), l.Ready.Add(ready), l.Jobs+1
			loads[flow] = l
		}
	}
	for _, flow := range slices.SortedFunc(maps.Keys(loads), mfshare.Flow.Compare) {
		in.Loads = append(in.Loads, loads[flow])
		in.Accounts[flow.Account] = s.entitlement(flow.Account, lasting[flow.Account])
	}
	return in
}

// minFlowRate is the rate of accepted work, in cores, below which a flow counts as idle.
const minFlowRate = 0.01

// entitlement returns an account's weight and what its limit leaves besides its lasting tasks.
func (s *State) entitlement(id mothferry.AccountID, lasting mfdemand.Amount) mfshare.Entitlement {
	a, ok := s.accounts[id]
	if !ok {
		return mfshare.Entitlement{}
	}
	limit := mfdemand.AmountOf(a.Limit)
	e := mfshare.Entitlement{Weight: a.Weight, Limited: limit.Cores > 0 || limit.Memory > 0}
	// A limit of zero bounds nothing, so what lasting tasks leave stays above zero.
	if limit.Cores > 0 {
		e.Limit.Cores = max(minRemaining, limit.Cores-lasting.Cores)
	}
	if limit.Memory > 0 {
		e.Limit.Memory = max(minRemaining, limit.Memory-lasting.Memory)
	}
	return e
}

// minRemaining is the smallest remainder of a limited resource, in cores or GiB.
const minRemaining = 0.001

// waitingWorkOnTime returns the waiting work of a job that can meet its objective, and the part of
// it that is ready.
func (s *State) waitingWorkOnTime(j *job, q Queue, now time.Time) (sum, ready mfdemand.Amount) {
	for _, o := range j.occurrences {
		if o.scheduledAt.After(now) {
			break
		}
		if p, _ := s.classify(j, o, q, now); p != classOnTime && p != classOverRate {
			continue
		}
		for _, p := range o.steps {
			work := taskWork(p.spec).Times(float64(p.waiting))
			sum = sum.Add(work)
			if dependenciesDone(o, p) {
				ready = ready.Add(work)
			}
		}
	}
	return sum, ready
}

// NoticeableWaits returns the shortest wait that matters to the callers of each service: half of
// the smallest Latency of its queues, the part of an objective that doesn't depend on the job.
func (s *State) NoticeableWaits() map[mothferry.ServiceID]time.Duration {
	out := map[mothferry.ServiceID]time.Duration{}
	for _, q := range s.queues {
		if shortest, ok := out[q.Service]; !ok || q.Latency/2 < shortest {
			out[q.Service] = q.Latency / 2
		}
	}
	return out
}
