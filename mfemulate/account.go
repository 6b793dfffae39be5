package mfemulate

import (
	"maps"
	"time"

	"mothferry"
	"mothferry/mfjob"
	"mothferry/mfsched"
)

// limitOverage is the fraction by which an account may exceed its limit, beyond one task.
const limitOverage = 0.1

// A config change reaches the owner within maxConfigAdoptDelay. After configInForceDelay it is
// in force, and so is every decision made just before it.
const (
	maxConfigAdoptDelay = 800 * time.Millisecond
	configInForceDelay  = time.Second
)

// SetAccounts changes the client accounts. Until the change is confirmed to be in force, the
// higher of the old and the new limit counts.
func (w *World) SetAccounts(accounts map[mothferry.AccountID]mfsched.Account) {
	previous := maps.Clone(w.limits)
	for id, a := range accounts {
		w.limits[id] = higherLimits(previous[id], a.Limit)
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

// higherLimits returns the higher of two limits for each resource; zero means no limit.
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

// checkAccount reports a start that brings its account over its limit by more than
// limitOverage and one task. A worker may execute an order late, after the limit was lowered,
// and no owner can prevent that: such an order is checked against the limits of the moment it
// was sent.
func (w *World) checkAccount(c *jobRecord, step *mfjob.Step) {
	id := c.submission.Account
	if id == "" {
		return
	}
	used, limit := w.resourcesInUse(id), w.limits[id]
	if w.lateOrder {
		limit = higherLimits(limit, w.lateOrderLimits[id])
	}
	exceeded := exceedsLimit(float64(used.Cores), float64(limit.Cores)) || exceedsLimit(float64(used.Memory), float64(limit.Memory)) ||
		exceedsLimit(float64(used.Accelerators), float64(limit.Accelerators))
	if exceeded {
		w.violation("account %s uses %+v of its limit %+v, and another task of %+v starts", id, used, limit, step.Need)
	}
}

func exceedsLimit(used, limit float64) bool { return limit > 0 && used > limit*(1+limitOverage) }

// resourcesInUse returns the resources of an account's running tasks.
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
