package mfsched

import (
	"time"

	"mothferry"
	"mothferry/mfshare"
)

// Account is what the config in force says of a client account.
type Account struct {
	// Weight is how many jobs a second the account is owed.
	Weight float64
	// Limit bounds what its tasks may have running over all workers; a resource that is
	// zero is not bounded.
	Limit mothferry.Resources
}

// account is a client account and what it has running.
//
// What goes wrong without the count: the limit is passed unnoticed by runs that nobody is
// sure of. A run therefore counts from when it is decided until it is known to be over,
// through orders without answer and changes of the owner, which restores them.
type account struct {
	Account
	// used is what its tasks take that are, or may be, at a worker.
	used mothferry.Resources
	// orphaned is what runs of it take that should not be there and have not surely ended, as
	// of the round of placing under way.
	orphaned mothferry.Resources
	// allowance is what it may still send of what it is owed.
	allowance mfshare.TokenBucket
}

// accountOf returns an account by its id, nil for none.
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

// applyAccounts takes in what a newer config says. An account that it does not name any
// more keeps its last limit: jobs of it that were accepted go on.
func (s *State) applyAccounts(accounts map[mothferry.AccountID]Account) {
	s.hasAccounts = len(accounts) > 0
	for id, a := range accounts {
		if known := s.accountOf(id); known != nil {
			known.Account = a
		}
	}
}

// addUsage adds to what an account has running.
func (a *account) addUsage(need mothferry.Resources) {
	if a != nil {
		a.used = a.used.Add(need)
	}
}

// removeUsage subtracts from what an account has running.
func (a *account) removeUsage(need mothferry.Resources) {
	if a != nil {
		a.used = a.used.Sub(need)
	}
}

// admits reports whether an account may have so much more running. One task that is larger
// than the whole limit may run alone, or it never would.
func (a *account) admits(need mothferry.Resources) bool {
	if a == nil {
		return true
	}
	taken := a.used.Add(a.orphaned)
	return taken == (mothferry.Resources{}) || withinLimit(taken.Add(need), a.Limit)
}

// withinLimit reports whether an amount keeps to a limit, of which a zero bounds nothing.
func withinLimit(amount, most mothferry.Resources) bool {
	return (most.Cores == 0 || amount.Cores <= most.Cores) &&
		(most.Memory == 0 || amount.Memory <= most.Memory) &&
		(most.Accelerators == 0 || amount.Accelerators <= most.Accelerators)
}

// admitsAll reports whether an account may have so many more tasks of a step running that
// work only together.
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

// stillAdmits reports whether a run that counts already may be ordered: the limit may have
// been lowered since it was decided.
func (a *account) stillAdmits(need mothferry.Resources) bool {
	return !a.overLimit() || a.used.Add(a.orphaned) == need
}

// overLimit reports whether an account has more running than it may, so that what is
// stopped would not start again.
func (a *account) overLimit() bool { return a != nil && !withinLimit(a.used.Add(a.orphaned), a.Limit) }

// countOrphaned takes in what stray runs take of their accounts' limits.
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

// withinRate reports whether a job that comes now is within what its account is owed. Without
// an account, or a rate, all is.
func (j *job) withinRate(now time.Time) bool {
	if j.account == nil || j.account.Weight <= 0 || j.submission.Lasts() {
		return true
	}
	return j.account.allowance.Take(j.account.Weight, now)
}

// UsedByAccount returns how many cores the tasks of each account have.
func (s *State) UsedByAccount() map[mothferry.AccountID]float64 {
	out := map[mothferry.AccountID]float64{}
	for id, a := range s.accounts {
		out[id] = float64(a.used.Cores) / 1000
	}
	return out
}
