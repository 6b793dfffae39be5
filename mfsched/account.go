package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfshare"
)

// Account is a client account's entry in the config in force.
type Account struct {
	// Weight is the account's rate in jobs a second, and its weight where capacity is divided.
	Weight float64
	// Limit bounds the resources of its runs on all workers; a resource that is zero is not
	// bounded.
	Limit mothferry.Resources
}

// account is a client account and its usage.
//
// A run counts from its decision until it is confirmed to have ended, also while orders have no
// answer and across changes of the owner, which restores the runs. Unresolved runs would
// otherwise exceed the limit unnoticed.
type account struct {
	Account
	// used is what its tasks need that are, or may be, on a worker.
	used mothferry.Resources
	// orphaned is what its orphaned runs need that are not confirmed to have ended, as of the
	// current placement round.
	orphaned mothferry.Resources
	// allowance is the token bucket for its rate of jobs.
	allowance mfshare.TokenBucket
}

// accountOf returns an account by its id, adding it if it isn't known; nil for an empty id.
func (s *State) accountOf(id mothferry.AccountID) *account {
	if id == "" {
		return nil
	}
	a, ok := s.accounts[id]
	if !ok {
		a = &account{}
		s.accounts[id] = a
	}
	return a
}

// applyAccounts applies the accounts of a newer config. An account that is no longer in it keeps
// its last limit, as its accepted jobs continue.
func (s *State) applyAccounts(accounts map[mothferry.AccountID]Account) {
	s.hasAccounts = len(accounts) > 0
	for id, a := range accounts {
		if known := s.accountOf(id); known != nil {
			known.Account = a
		}
	}
}

// addUsage adds a run's resources to an account's usage.
func (a *account) addUsage(need mothferry.Resources) {
	if a != nil {
		a.used = a.used.Add(need)
	}
}

// removeUsage subtracts a run's resources from an account's usage.
func (a *account) removeUsage(need mothferry.Resources) {
	if a != nil {
		a.used = a.used.Sub(need)
	}
}

// admits reports whether an account's limit admits one more run. A single task that exceeds the
// whole limit may run alone, as it would otherwise never run.
func (a *account) admits(need mothferry.Resources) bool {
	if a == nil {
		return true
	}
	used := a.used.Add(a.orphaned)
	return used == (mothferry.Resources{}) || withinLimit(used.Add(need), a.Limit)
}

// withinLimit reports whether an amount is within a limit; a resource whose limit is zero is not
// bounded.
func withinLimit(amount, limit mothferry.Resources) bool {
	return (limit.Cores == 0 || amount.Cores <= limit.Cores) &&
		(limit.Memory == 0 || amount.Memory <= limit.Memory) &&
		(limit.Accelerators == 0 || amount.Accelerators <= limit.Accelerators)
}

// admitsAll reports whether an account's limit admits so many more runs, which work only together.
func (a *account) admitsAll(need mothferry.Resources, count int) bool {
	if a == nil {
		return true
	}
	sum := a.used.Add(a.orphaned)
	for range count {
		sum = sum.Add(need)
	}
	return withinLimit(sum, a.Limit)
}

// stillAdmits reports whether a run that is already counted may be ordered, as the limit may have
// been lowered since its decision.
func (a *account) stillAdmits(need mothferry.Resources) bool {
	return !a.overLimit() || a.used.Add(a.orphaned) == need
}

// overLimit reports whether an account exceeds its limit, so that a task that is stopped would not
// start again.
func (a *account) overLimit() bool { return a != nil && !withinLimit(a.used.Add(a.orphaned), a.Limit) }

// countOrphaned sums up what orphaned runs take from their accounts' limits.
func (s *State) countOrphaned() {
	for _, a := range s.accounts {
		a.orphaned = mothferry.Resources{}
	}
	for _, w := range s.sortedWorkers {
		for _, r := range w.orphans {
			if r.account != nil {
				r.account.orphaned = r.account.orphaned.Add(r.need)
			}
		}
	}
}

// withinRate reports whether a job that arrives now is within its account's rate. Without an
// account or a rate, every job is, and so is every lasting job.
func (j *job) withinRate(now time.Time) bool {
	if j.account == nil || j.account.Weight <= 0 || j.lasts {
		return true
	}
	return j.account.allowance.Take(j.account.Weight, now)
}

// UsedByAccount returns the number of cores that the tasks of each account use.
func (s *State) UsedByAccount() map[mothferry.AccountID]float64 {
	out := map[mothferry.AccountID]float64{}
	for id, a := range s.accounts {
		out[id] = float64(a.used.Cores) / 1000
	}
	return out
}
