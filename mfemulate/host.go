package mfemulate

import (
	"context"
	"fmt"
	"time"

	"mothferry"
	"mothferry/mfintake"
	"mothferry/mfjob"
	"mothferry/mflog"
	"mothferry/mfqueue"
	"mothferry/mfrecord"
)

const (
	// headReadInterval is how often a host reads the owner's head.
	headReadInterval = 300 * time.Millisecond
	// allocationInterval is how often an owner recomputes the accounts' allocation.
	allocationInterval = 200 * time.Millisecond
	// retryUnit is the unit of the retry-after time; callers round it up.
	retryUnit = time.Second
)

// host is an entry host with the real admission decisions.
type host struct {
	world    *World
	intake   *mfintake.Intake
	lastHead *mfrecord.Head
	// headVersion is the version of the head that was read last. The host reads nothing until
	// readsPausedUntil.
	headVersion      mothferry.Version
	readsPausedUntil time.Time
}

// clock is the simulated clock.
type clock struct{ world *World }

// Now implements mothferry.Clock.
func (c clock) Now() time.Time { return c.world.now }

// After implements mothferry.Clock. The host code under simulation never waits.
func (c clock) After(time.Duration) <-chan time.Time { return nil }

// AddHosts adds entry hosts, each of which reads the owner's head at its own times.
func (w *World) AddHosts(count int) {
	for range count {
		h := &host{world: w}
		h.start()
		w.hosts = append(w.hosts, h)
		w.after(time.Duration(w.Random.Float64()*float64(headReadInterval)), func() {
			h.readHead()
			w.every(headReadInterval, h.readHead)
		})
	}
}

// start starts the host without any previous counts.
func (h *host) start() {
	h.lastHead, h.headVersion = nil, 0
	h.intake = &mfintake.Intake{
		Store: &h.world.rows, Clock: clock{h.world}, Log: mflog.Discard(), Random: h.world.Random, Off: h.world.Off,
		LastHead: func() *mfrecord.Head { return h.lastHead },
	}
}

// RestartHost restarts a host without delay.
func (w *World) RestartHost(index int) { w.hosts[index].start() }

// PauseHeadReads keeps a host from reading the owner's head for d.
func (w *World) PauseHeadReads(index int, d time.Duration) {
	w.hosts[index].readsPausedUntil = w.now.Add(d)
}

func (h *host) readHead() {
	w := h.world
	if w.now.Before(h.readsPausedUntil) {
		return
	}
	for _, r := range w.storedRows(mfrecord.TableOwner) {
		head, err := mfrecord.DecodeHead(r.Value)
		if err != nil {
			w.violation("decode head: %v", err)
			return
		}
		head.ReadAt, head.FirstReadAt = w.now, w.now
		if h.lastHead != nil && r.Version == h.headVersion {
			head.FirstReadAt = h.lastHead.FirstReadAt
		}
		h.lastHead, h.headVersion = &head, r.Version
	}
}

// encodeHead returns the encoded head row of the owner.
func (o *owner) encodeHead() []byte {
	w := o.world
	head := mfrecord.Head{Holder: "emulated", Epoch: o.epoch}
	if pending, known := o.state.Pending(); known && len(w.hosts) > 0 {
		head.PendingKnown, head.Pending, head.EstimatedWaits = true, pending, o.state.Waits(0, w.now)
		head.AdviceWait = o.state.AdviceWait(w.now)
		if w.now.Sub(o.allocatedAt) >= allocationInterval {
			o.allocatedAt, o.allocation = w.now, o.state.Allocations(w.now)
		}
		if o.allocation != nil {
			head.Shares = o.allocation.Published(o.state.NoticeableWaits())
		}
	}
	data, err := head.Encode()
	if err != nil {
		w.violation("encode head: %v", err)
	}
	return data
}

// AccountStats counts the jobs that callers of an account submitted at hosts.
type AccountStats struct {
	// Jobs counts the jobs submitted and Accepted those of them that were accepted. Of these,
	// OnTime completed within their objective after acceptance, and TooLateOrFailed later than
	// TooLateFactor times it or not at all. Refused jobs were never accepted.
	Jobs, Accepted, OnTime, TooLateOrFailed, Refused int
	// Refusals counts the refused attempts, RefusedWithCapacity those of them whose job could
	// have started without delay.
	Refusals, RefusedWithCapacity int
}

// SubmitAtHost submits a job at a random host. A caller whose job is refused tries again after
// the time it was told, at most retries times.
func (w *World) SubmitAtHost(s mfjob.Submission, retries int) {
	a, ok := w.accountStats[s.Account]
	if !ok {
		a = &AccountStats{}
		w.accountStats[s.Account] = a
	}
	a.Jobs++
	w.submissions++
	w.trySubmit(mothferry.JobID(fmt.Sprintf("asked-%d", w.submissions)), s, a, retries)
}

func (w *World) trySubmit(id mothferry.JobID, s mfjob.Submission, a *AccountStats, retries int) {
	h := w.hosts[w.Random.IntN(len(w.hosts))]
	q := w.Queues[s.Queue]
	queue := mfqueue.Queue{ID: s.Queue, Service: q.Service, Stretch: q.Stretch, Latency: q.Latency}
	retryAfter, refused := h.intake.Refuse(context.Background(), id, queue, s)
	if refused {
		a.Refusals++
		if w.couldStart(s) {
			a.RefusedWithCapacity++
		}
	}
	switch {
	case !refused:
		a.Accepted++
		w.Submit(s)
	case retries == 0:
		a.Refused++
	default:
		units := max(1, (retryAfter+retryUnit-1)/retryUnit)
		w.after(units*retryUnit, func() { w.trySubmit(id, s, a, retries-1) })
	}
}

// AccountStats returns the counts of each account.
func (w *World) AccountStats() map[mothferry.AccountID]AccountStats {
	out := map[mothferry.AccountID]AccountStats{}
	for id, a := range w.accountStats {
		out[id] = *a
	}
	for _, c := range w.jobs {
		a, ok := out[c.submission.Account]
		if !ok || c.submission.Lasts() {
			continue
		}
		took, objective := c.completed.Sub(c.submission.Accepted), w.objective(c)
		switch {
		case c.state != mfjob.StateCompleted || took > mfjob.TooLateFactor*objective:
			a.TooLateOrFailed++
		case took <= objective:
			a.OnTime++
		}
		out[c.submission.Account] = a
	}
	return out
}

// couldStart reports whether the first step of a job could start without delay: its service's
// workers have free capacity for twice as much, and its account is not near its limit. Near
// the limit a small job often fits while larger queued ones do not.
func (w *World) couldStart(s mfjob.Submission) bool {
	first := s.Steps[0]
	need := mothferry.Millicores(first.Count) * first.Need.Cores
	if limit := w.limits[s.Account].Cores; limit > 0 && float64(w.resourcesInUse(s.Account).Cores+need) > nearLimitFraction*float64(limit) {
		return false
	}
	return w.IdleCores(s.Service) >= 2*need
}

// nearLimitFraction is the fraction of its limit from which an account counts as near it.
const nearLimitFraction = 0.8

// IdleCores returns the cores of a service's workers that no task uses.
func (w *World) IdleCores(service mothferry.ServiceID) mothferry.Millicores {
	var idle mothferry.Millicores
	for _, k := range w.workers {
		if k.ended || k.unreachable || k.listing.Service != service {
			continue
		}
		idle += k.listing.Capacity.Cores
		for _, r := range k.running {
			idle -= r.step.Need.Cores
		}
	}
	return idle
}

// RunningCores returns the cores that an account's tasks use.
func (w *World) RunningCores(id mothferry.AccountID) mothferry.Millicores {
	return w.resourcesInUse(id).Cores
}
