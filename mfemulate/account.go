package mfemulate

import (
	"maps"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// limitOverage is by how much an account may be over its limit, beyond one task.
const limitOverage = 0.1

// Times of a change of the config: until the owner adopts it at the latest, and until it is
// in force, with what was decided just before.
const (
	maxConfigAdoptDelay = 800 * time.Millisecond
	configInForceDelay  = time.Second
)

// SetAccounts changes the client accounts. Until the change is surely in force the higher
// limit of both counts.
func (w *World) SetAccounts(accounts map[mothferry.AccountID]mfsched.Account) {
	former := maps.Clone(w.limits)
	for id, a := range accounts {
		w.limits[id] = higherLimits(former[id], a.Limit)
	}
	w.Accounts = accounts
	w.accountChanges++
	change := w.accountChanges
	w.after(time.Duration(w.Random.Float64()*float64(maxConfigAdoptDelay)), func() {
		if change != w.accountChanges {
			// A host adopts only newer configs.
			return
		}
		w.notifyOwner(mfsched.ConfigChanged{Queues: w.Queues, Accounts: accounts})
	})
	w.after(configInForceDelay, func() {
		if change != w.accountChanges {
			return
		}
		for id, a := range accounts {
			w.limits[id] = a.Limit
		}
	})
}

// higherLimits returns the larger of two limits; zero is none.
func higherLimits(a, b mothferry.Resources) mothferry.Resources {
	return mothferry.Resources{
		Cores: higherLimit(a.Cores, b.Cores), Memory: higherLimit(a.Memory, b.Memory), Accelerators: higherLimit(a.Accelerators, b.Accelerators),
	}
}

func higherLimit[N ~int64](a, b N) N {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// checkAccount watches that a start does not bring its account over its limit by more
// than the overage and one task. No owner can keep a worker from carrying out late what was ordered
// before a limit was lowered: the limit of that moment counts for it.
func (w *World) checkAccount(c *jobRecord, step *mfjob.Step) {
	id := c.submission.Account
	if id == "" {
		return
	}
	held, most := w.resourcesInUse(id), w.limits[id]
	if w.lateOrder {
		most = higherLimits(most, w.lateOrderLimits[id])
	}
	over := exceedsLimit(float64(held.Cores), float64(most.Cores)) || exceedsLimit(float64(held.Memory), float64(most.Memory)) ||
		exceedsLimit(float64(held.Accelerators), float64(most.Accelerators))
	if over {
		w.violation("account %s has %+v running, it may have %+v, and one more task of %+v starts", id, held, most, step.Need)
	}
}

func exceedsLimit(held, most float64) bool { return most > 0 && held > most*(1+limitOverage) }

// resourcesInUse is what runs of an account.
func (w *World) resourcesInUse(id mothferry.AccountID) mothferry.Resources {
	sum := mothferry.Resources{}
	for _, k := range w.workers {
		if k.ended {
			continue
		}
		for name, r := range k.running {
			if w.jobs[name.Job].submission.Account == id {
				sum = sum.Add(r.step.Need)
			}
		}
	}
	return sum
}
