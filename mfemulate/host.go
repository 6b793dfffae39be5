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
	// headReadInterval is how often a host reads the owner's word.
	headReadInterval = 300 * time.Millisecond
	// allocationInterval is how often an owner works accounts' shares out.
	allocationInterval = 200 * time.Millisecond
	// retryUnit is the unit in which callers are told when to come back.
	retryUnit = time.Second
)

// host is an entry host, with the real decisions about what is taken in.
type host struct {
	world    *World
	intake   *mfintake.Intake
	lastHead *mfrecord.Head
	// headVersion is that of the row that it read last, deaf until when it reads nothing.
	headVersion      mothferry.Version
	readsPausedUntil time.Time
}

// clock is the world's.
type clock struct{ world *World }

// Now implements mothferry.Clock.
func (c clock) Now() time.Time { return c.world.now }

// After implements mothferry.Clock. Nothing that is asked of a host waits.
func (c clock) After(time.Duration) <-chan time.Time { return nil }

// AddHosts adds entry hosts, each of which reads the owner's word at its own times.
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

// start begins anew, without what the host counted.
func (h *host) start() {
	h.lastHead, h.headVersion = nil, 0
	h.intake = &mfintake.Intake{
		Store: &h.world.rows, Clock: clock{h.world}, Log: mflog.Discard(), Random: h.world.Random, Off: h.world.Off,
		LastHead: func() *mfrecord.Head { return h.lastHead },
	}
}

// RestartHost ends a host and starts it again at once.
func (w *World) RestartHost(index int) { w.hosts[index].start() }

// PauseHeadReads keeps a host from reading the owner's word for a while.
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
			w.violation("the head can't be read: %v", err)
			return
		}
		head.ReadAt, head.FirstReadAt = w.now, w.now
		if h.lastHead != nil && r.Version == h.headVersion {
			head.FirstReadAt = h.lastHead.FirstReadAt
		}
		h.lastHead, h.headVersion = &head, r.Version
	}
}

// encodeHead returns the row that the owner stores of itself.
func (o *owner) encodeHead() []byte {
	w := o.world
	head := mfrecord.Head{Holder: "emulated", Epoch: o.epoch}
	if pending, known := o.state.Pending(); known && len(w.hosts) > 0 {
		head.PendingKnown, head.Pending, head.EstimatedWaits = true, pending, o.state.Waits(w.now)
		if w.now.Sub(o.allocatedAt) >= allocationInterval {
			o.allocatedAt, o.allocation = w.now, o.state.Allocations(w.now)
		}
		if o.allocation != nil {
			head.Shares = o.allocation.Published(o.state.NoticeableWaits())
		}
	}
	data, err := head.Encode()
	if err != nil {
		w.violation("the head can't be encoded: %v", err)
	}
	return data
}

// AccountStats counts what callers of an account asked for.
type AccountStats struct {
	// Jobs is how many they have, Accepted how many of them were accepted; InTime of these
	// were completed in time after that, Useless of no use. Refused were never accepted.
	Jobs, Accepted, OnTime, TooLateOrFailed, Refused int
	// Refusals counts tries that were refused, BesideRoom those of them that could have begun at once.
	Refusals, RefusedWithCapacity int
}

// SubmitAtHost has a caller hand a job in at any host. A caller that is refused comes back when it
// was told to, so many times.
func (w *World) SubmitAtHost(s mfjob.Submission, returns int) {
	a, ok := w.accountStats[s.Account]
	if !ok {
		a = &AccountStats{}
		w.accountStats[s.Account] = a
	}
	a.Jobs++
	w.submissions++
	w.trySubmit(mothferry.JobID(fmt.Sprintf("asked-%d", w.submissions)), s, a, returns)
}

func (w *World) trySubmit(id mothferry.JobID, s mfjob.Submission, a *AccountStats, returns int) {
	h := w.hosts[w.Random.IntN(len(w.hosts))]
	q := w.Queues[s.Queue]
	queue := mfqueue.Queue{ID: s.Queue, Service: q.Service, Stretch: q.Stretch, Latency: q.Latency}
	again, refused := h.intake.Refuse(context.Background(), id, queue, s)
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
	case returns == 0:
		a.Refused++
	default:
		units := max(1, (again+retryUnit-1)/retryUnit)
		w.after(units*retryUnit, func() { w.trySubmit(id, s, a, returns-1) })
	}
}

// AccountStats returns what callers of each account asked for and what came of it.
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
		took, aim := c.completed.Sub(c.submission.Accepted), w.objective(c)
		switch {
		case c.state != mfjob.StateCompleted || took > mfjob.TooLateFactor*aim:
			a.TooLateOrFailed++
		case took <= aim:
			a.OnTime++
		}
		out[c.submission.Account] = a
	}
	return out
}

// couldStart reports whether the first step of a job could start at once: its service's
// workers have room for twice as much, and its account is not near its limit, where a small
// job has room at most moments beside the line of larger ones.
func (w *World) couldStart(s mfjob.Submission) bool {
	first := s.Steps[0]
	need := mothferry.Millicores(first.Count) * first.Need.Cores
	if most := w.limits[s.Account].Cores; most > 0 && float64(w.resourcesInUse(s.Account).Cores+need) > nearLimitFraction*float64(most) {
		return false
	}
	return w.IdleCores(s.Service) >= 2*need
}

// nearLimitFraction is the part of its limit from which on an account counts as being near it.
const nearLimitFraction = 0.8

// IdleCores returns what no task takes of a service's workers.
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

// RunningCores returns what tasks of an account take.
func (w *World) RunningCores(id mothferry.AccountID) mothferry.Millicores {
	return w.resourcesInUse(id).Cores
}
