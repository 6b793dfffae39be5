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
	// hostReads is how often a host reads the owner's word.
	hostReads = 300 * time.Millisecond
	// sharesEvery is how often an owner works accounts' shares out.
	sharesEvery = 200 * time.Millisecond
	// returnAfter is the unit in which callers are told when to come back.
	returnAfter = time.Second
)

// host is an entry host, with the real decisions about what is taken in.
type host struct {
	world  *World
	intake *mfintake.Intake
	board  *mfrecord.Head
	// version is that of the row that it read last, deaf until when it reads nothing.
	version mothferry.Version
	deaf    time.Time
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
		w.after(time.Duration(w.Random.Float64()*float64(hostReads)), func() {
			h.read()
			w.every(hostReads, h.read)
		})
	}
}

// start begins anew, without what the host counted.
func (h *host) start() {
	h.board, h.version = nil, 0
	h.intake = &mfintake.Intake{
		Store: &h.world.rows, Clock: clock{h.world}, Log: mflog.Discard(), Random: h.world.Random, Off: h.world.Off,
		LastHead: func() *mfrecord.Head { return h.board },
	}
}

// RestartHost ends a host and starts it again at once.
func (w *World) RestartHost(index int) { w.hosts[index].start() }

// Deafen keeps a host from reading the owner's word for a while.
func (w *World) Deafen(index int, d time.Duration) { w.hosts[index].deaf = w.now.Add(d) }

func (h *host) read() {
	w := h.world
	if w.now.Before(h.deaf) {
		return
	}
	for _, r := range w.stored(mfrecord.TableOwner) {
		head, err := mfrecord.DecodeHead(r.Value)
		if err != nil {
			w.broken("the head can't be read: %v", err)
			return
		}
		head.ReadAt, head.FirstReadAt = w.now, w.now
		if h.board != nil && r.Version == h.version {
			head.FirstReadAt = h.board.FirstReadAt
		}
		h.board, h.version = &head, r.Version
	}
}

// head returns the row that the owner stores of itself.
func (o *owner) head() []byte {
	w := o.world
	head := mfrecord.Head{Holder: "emulated", Epoch: o.epoch}
	if pending, known := o.state.Pending(); known && len(w.hosts) > 0 {
		head.PendingKnown, head.Pending, head.EstimatedWaits = true, pending, o.state.Waits(w.now)
		if w.now.Sub(o.sharesAt) >= sharesEvery {
			o.sharesAt, o.shares = w.now, o.state.Allocations(w.now)
		}
		if o.shares != nil {
			head.Shares = o.shares.Published(o.state.NoticeableWaits())
		}
	}
	data, err := head.Encode()
	if err != nil {
		w.broken("the head can't be encoded: %v", err)
	}
	return data
}

// Asked counts what callers of an account asked for.
type Asked struct {
	// Jobs is how many they have, Accepted how many of them were accepted; InTime of these
	// were completed in time after that, Useless of no use. Refused were never accepted.
	Jobs, Accepted, InTime, Useless, Refused int
	// Refusals counts tries that were refused, BesideRoom those of them that could have begun at once.
	Refusals, BesideRoom int
}

// Ask has a caller hand a job in at any host. A caller that is refused comes back when it
// was told to, so many times.
func (w *World) Ask(s mfjob.Submission, returns int) {
	a, ok := w.asked[s.Account]
	if !ok {
		a = &Asked{}
		w.asked[s.Account] = a
	}
	a.Jobs++
	w.serial++
	w.try(mothferry.JobID(fmt.Sprintf("asked-%d", w.serial)), s, a, returns)
}

func (w *World) try(id mothferry.JobID, s mfjob.Submission, a *Asked, returns int) {
	h := w.hosts[w.Random.IntN(len(w.hosts))]
	q := w.Queues[s.Queue]
	queue := mfqueue.Queue{ID: s.Queue, Service: q.Service, Stretch: q.Stretch, Latency: q.Latency}
	again, refused := h.intake.Refuse(context.Background(), id, queue, s)
	if refused {
		a.Refusals++
		if w.couldBegin(s) {
			a.BesideRoom++
		}
	}
	switch {
	case !refused:
		a.Accepted++
		w.Submit(s)
	case returns == 0:
		a.Refused++
	default:
		units := max(1, (again+returnAfter-1)/returnAfter)
		w.after(units*returnAfter, func() { w.try(id, s, a, returns-1) })
	}
}

// Asked returns what callers of each account asked for and what came of it.
func (w *World) Asked() map[mothferry.AccountID]Asked {
	out := map[mothferry.AccountID]Asked{}
	for id, a := range w.asked {
		out[id] = *a
	}
	for _, c := range w.jobs {
		a, ok := out[c.submission.Account]
		if !ok || c.submission.Lasts() {
			continue
		}
		took, aim := c.completed.Sub(c.submission.Accepted), w.objective(c)
		switch {
		case c.state != mfjob.StateCompleted || took > mfjob.LateFactor*aim:
			a.Useless++
		case took <= aim:
			a.InTime++
		}
		out[c.submission.Account] = a
	}
	return out
}

// couldBegin reports whether the first step of a job could start at once: its service's
// workers have room for twice as much, and its account is not near its limit, where a small
// job has room at most moments beside the line of larger ones.
func (w *World) couldBegin(s mfjob.Submission) bool {
	first := s.Steps[0]
	need := mothferry.Millicores(first.Count) * first.Need.Cores
	if most := w.limits[s.Account].Cores; most > 0 && float64(w.heldBy(s.Account).Cores+need) > nearLimit*float64(most) {
		return false
	}
	return w.Idle(s.Service) >= 2*need
}

// nearLimit is the part of its limit from which on an account counts as being near it.
const nearLimit = 0.8

// Idle returns what no task takes of a service's workers.
func (w *World) Idle(service mothferry.ServiceID) mothferry.Millicores {
	var idle mothferry.Millicores
	for _, k := range w.workers {
		if k.over || k.silent || k.listing.Service != service {
			continue
		}
		idle += k.listing.Capacity.Cores
		for _, r := range k.running {
			idle -= r.step.Need.Cores
		}
	}
	return idle
}

// Running returns what tasks of an account take.
func (w *World) Running(id mothferry.AccountID) mothferry.Millicores { return w.heldBy(id).Cores }
