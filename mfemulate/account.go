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
	adoptedWithin = 800 * time.Millisecond
	configWithin  = time.Second
)

// SetAccounts changes the client accounts. Until the change is surely in force the higher
// limit of both counts.
func (w *World) SetAccounts(accounts map[mothferry.AccountID]mfsched.Account) {
	former := maps.Clone(w.limits)
	for id, a := range accounts {
		w.limits[id] = higher(former[id], a.Limit)
	}
	w.Accounts = accounts
	w.changes++
	change := w.changes
	w.after(time.Duration(w.Random.Float64()*float64(adoptedWithin)), func() {
		if change != w.changes {
			// A host adopts only newer configs.
			return
		}
		w.tell(mfsched.ConfigChanged{Queues: w.Queues, Accounts: accounts})
	})
	w.after(configWithin, func() {
		if change != w.changes {
			return
		}
		for id, a := range accounts {
			w.limits[id] = a.Limit
		}
	})
}

// higher returns the larger of two limits; zero is none.
func higher(a, b mothferry.Resources) mothferry.Resources {
	return mothferry.Resources{
		Cores: higherOf(a.Cores, b.Cores), Memory: higherOf(a.Memory, b.Memory), Accelerators: higherOf(a.Accelerators, b.Accelerators),
	}
}

func higherOf[N ~int64](a, b N) N {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// checkAccount watches that a start does not bring its account over its limit by more
// than the overage and one task. No owner can keep a worker from carrying out late what was ordered
// before a limit was lowered: the limit of that moment counts for it.
func (w *World) checkAccount(c *caller, step *mfjob.Step) {
	id := c.submission.Account
	if id == "" {
		return
	}
	held, most := w.heldBy(id), w.limits[id]
	if w.late {
		most = higher(most, w.lateLimits[id])
	}
	over := beyond(float64(held.Cores), float64(most.Cores)) || beyond(float64(held.Memory), float64(most.Memory)) ||
		beyond(float64(held.Accelerators), float64(most.Accelerators))
	if over {
		w.broken("account %s has %+v running, it may have %+v, and one more task of %+v starts", id, held, most, step.Need)
	}
}

func beyond(held, most float64) bool { return most > 0 && held > most*(1+limitOverage) }

// heldBy is what runs of an account.
func (w *World) heldBy(id mothferry.AccountID) mothferry.Resources {
	sum := mothferry.Resources{}
	for _, k := range w.workers {
		if k.over {
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
