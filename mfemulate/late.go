package mfemulate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// Lateness makes calls, answers and lists late without losing them. The zero value leaves time
// exact.
type Lateness struct {
	// Relays is how many relays the calls are spread over, beside direct calls.
	Relays int
	// Send is the probability that a call is sent up to SendBy after it was decided on.
	Send   float64
	SendBy time.Duration
	// Hold is the probability that a call waits on its way, HoldAnswer that its answer does,
	// each for up to HoldBy. The owner gives up on it after the usual time.
	Hold, HoldAnswer float64
	HoldBy           time.Duration
	// Resend is the probability that a poll is carried out twice, as a relay was taken for lost.
	Resend float64
	// Worker is the probability that a worker handles a call up to WorkerBy after it came.
	Worker   float64
	WorkerBy time.Duration
	// Commit is the probability that a commit is stored, and its answer, each up to CommitBy late.
	Commit   float64
	CommitBy time.Duration
	// List is the probability that a list of machines is answered up to ListBy after it was
	// composed, OldList that it was composed up to ListBy before it was asked for.
	List, OldList float64
	ListBy        time.Duration
	// Claims makes new owners count leases from when they first read the head, as production
	// owners do. Otherwise they count from the takeover.
	Claims bool
}

// enabled reports whether anything may be late.
func (l Lateness) enabled() bool { return l != Lateness{} }

// affectsCalls reports whether calls may be late.
func (l Lateness) affectsCalls() bool {
	l.Relays, l.Claims = 0, false
	return l.enabled()
}

// origin is where a run's start order came from.
type origin struct {
	epoch         mothferry.Epoch
	via           string
	decided, sent time.Time
}

// path is the way of one call.
type path struct {
	via string
	// send is the delay before the call is sent, there and back are the times of its ways, worker
	// that before it is carried out.
	send, there, worker, back time.Duration
}

func (w *World) delay(p float64, by time.Duration) time.Duration {
	if by <= 0 || !w.chance(p) {
		return 0
	}
	return time.Duration(w.Random.Int64N(int64(by)))
}

// path draws the way of a call.
func (w *World) path() path {
	l := w.Late
	p := path{via: "direct", there: orderDelay, back: orderDelay}
	if relay := w.Random.IntN(l.Relays + 1); relay > 0 {
		p.via = fmt.Sprintf("relay-%d", relay)
		if left := w.relayStalledUntil[p.via].Sub(w.now); left > 0 {
			p.there += left
		}
	}
	p.send, p.worker = w.delay(l.Send, l.SendBy), w.delay(l.Worker, l.WorkerBy)
	p.there += w.delay(l.Hold, l.HoldBy)
	p.back += w.delay(l.HoldAnswer, l.HoldBy)
	return p
}

// StallRelay holds everything that reaches a relay for d.
func (w *World) StallRelay(number int, d time.Duration) {
	if w.relayStalledUntil == nil {
		w.relayStalledUntil = map[string]time.Time{}
	}
	w.relayStalledUntil[fmt.Sprintf("relay-%d", number)] = w.now.Add(d)
}

// call carries a call to a worker and its answer back. Deliver gets the incarnation that has
// the worker's id when the call arrives, and a function that returns the answer; ended is called if
// it is over. The connections break if the incarnation ends before it handles the call. A call that
// has not been sent to the worker when the owner gives up on it is not sent, as relays and the client
// for workers have it.
func (o *owner) call(p path, id mothferry.WorkerID, deliver func(k *worker, answer func(func())), ended func()) {
	w := o.world
	if p.there > callTimeout {
		return
	}
	w.after(p.there, func() {
		k := w.workers[id]
		if k == nil || !k.reachableBy(o.epoch, w.now) {
			return
		}
		answer := func(f func()) { w.after(p.back, f) }
		if k.ended {
			answer(ended)
			return
		}
		w.after(p.worker, func() {
			k.whenAwake(func() {
				if !k.ended && k.reachableBy(o.epoch, w.now) {
					deliver(k, answer)
				}
			})
		})
	})
}

// sendOrderLate is sendOrder on a network that delays calls.
func (o *owner) sendOrderLate(id mothferry.WorkerID, execute func(*worker) error, answered func(time.Time, mfsched.OrderResult, mothferry.OrderRefusal)) {
	w := o.world
	p, decided := w.path(), w.now
	w.after(p.send, func() {
		if o.dead {
			return
		}
		sent, finished := w.now, false
		end := func(r mfsched.OrderResult, refusal mothferry.OrderRefusal) {
			if !finished {
				finished = true
				o.do(func() { answered(sent, r, refusal) })
			}
		}
		w.after(callTimeout, func() { end(mfsched.ResultUnknown, "") })
		if w.chance(w.Faults.LoseOrder) {
			return
		}
		lost := w.chance(w.Faults.LoseAnswer)
		o.call(p, id, func(k *worker, answer func(func())) {
			r, refusal := resultOf(w.carryOut(k, origin{epoch: o.epoch, via: p.via, decided: decided, sent: sent}, execute))
			if !lost {
				answer(func() { end(r, refusal) })
			}
		}, func() { end(mfsched.ResultIncarnationEnded, "") })
	})
}

// carryOut executes an order of a known origin.
func (w *World) carryOut(k *worker, from origin, execute func(*worker) error) error {
	w.origin, w.lateOrder = from, w.now.Sub(from.decided) > callTimeout
	defer func() { w.origin, w.lateOrder = origin{}, false }()
	return execute(k)
}

// sendPollLate is sendPoll on a network that delays calls.
func (o *owner) sendPollLate(v mfsched.Poll) {
	w := o.world
	p, id := w.path(), v.At.Worker
	w.after(p.send, func() {
		if o.dead {
			return
		}
		sent, finished := w.now, false
		end := func(e mfsched.Event) {
			if !finished {
				finished = true
				o.do(func() { o.step(e) })
			}
		}
		failed := func(r mfsched.OrderResult) func() {
			return func() { end(mfsched.PollFailed{Worker: id, Number: v.Number, Sent: sent, Result: r}) }
		}
		w.after(v.Order.Wait+callTimeout, failed(mfsched.ResultUnknown))
		if w.chance(w.Faults.LoseOrder) {
			return
		}
		if w.chance(w.Late.Resend) {
			o.call(w.path(), id, func(k *worker, _ func(func())) {
				_ = k.poll(v.Order, func(mothferry.PollReport) {}, func() {})
			}, func() {})
		}
		lost := w.chance(w.Faults.LoseAnswer)
		o.call(p, id, func(k *worker, answer func(func())) {
			err := k.poll(v.Order, func(r mothferry.PollReport) {
				if !lost {
					answer(func() { end(mfsched.PollAnswered{Worker: id, Number: v.Number, Sent: sent, Report: r}) })
				}
			}, failed(mfsched.ResultUnknown))
			if err != nil {
				answer(failed(mfsched.ResultRefused))
			}
		}, failed(mfsched.ResultIncarnationEnded))
	})
}

// CutFromSuccessors keeps owners of later epochs than the present one from reaching a machine's
// worker for d.
func (w *World) CutFromSuccessors(index int, d time.Duration) {
	k := w.workers[w.machines[index%len(w.machines)].worker]
	if k != nil {
		k.cutFromEpoch, k.cutUntil = w.epoch+1, w.now.Add(d)
	}
}

// reachableBy reports whether calls of the owner of an epoch reach the worker.
func (o *worker) reachableBy(epoch mothferry.Epoch, now time.Time) bool {
	return !o.unreachable && (o.cutFromEpoch == 0 || epoch < o.cutFromEpoch || !now.Before(o.cutUntil))
}

// PauseWorker lets a machine's worker stand still for d: it handles calls and ends runs only after
// that. Its entry expires after entryExpiry. Leases expire in time.
func (w *World) PauseWorker(index int, d time.Duration) {
	k := w.workers[w.machines[index%len(w.machines)].worker]
	if k == nil || k.ended || k.paused() {
		return
	}
	k.pausedUntil = w.now.Add(d)
	w.extendFault(k.pausedUntil)
	w.after(entryExpiry, func() {
		if k.paused() && w.workers[k.listing.At.Worker] == k {
			w.UnlistWorker(index, k.pausedUntil.Sub(w.now)+listLag)
		}
	})
}

// entryExpiry is how long a worker is silent before its entry is removed.
const entryExpiry = 1500 * time.Millisecond

func (o *worker) paused() bool { return o.world.now.Before(o.pausedUntil) }

// whenAwake runs f now, or once the worker goes on.
func (o *worker) whenAwake(f func()) {
	if o.paused() {
		o.world.at(o.pausedUntil, f)
		return
	}
	f()
}

// StallOwner lets the owner's loop stand still for d. Answers queue up meanwhile, and the owner
// goes on as the owner that it believes to be.
func (w *World) StallOwner(d time.Duration) {
	o := w.owner
	if o.frozen || o.stalled {
		return
	}
	o.stalled = true
	w.extendFault(w.now.Add(d))
	w.after(d, o.resume)
}

// resume handles what has queued up at a stalled owner. The loop takes from its queues in any
// order, and may make decisions in between.
func (o *owner) resume() {
	o.stalled = false
	queues := [][]func(){o.deferred, o.deferredCommits, o.deferredLists}
	o.deferred, o.deferredCommits, o.deferredLists = nil, nil, nil
	for {
		queues = slices.DeleteFunc(queues, func(q []func()) bool { return len(q) == 0 })
		if len(queues) == 0 || o.dead {
			return
		}
		i := o.world.Random.IntN(len(queues))
		count := 1 + o.world.Random.IntN(len(queues[i]))
		for _, f := range queues[i][:count] {
			f()
		}
		queues[i] = queues[i][count:]
		o.step(mfsched.Tick{})
	}
}

// doFrom runs f as the owner, or adds it to a queue while the owner is stalled.
func (o *owner) doFrom(queue *[]func(), f func()) {
	if o.stalled && !o.dead {
		*queue = append(*queue, f)
		return
	}
	o.do(f)
}

// UnlistWorker removes a machine's worker from the list of workers for d, though it is alive.
func (w *World) UnlistWorker(index int, d time.Duration) {
	m := w.machines[index%len(w.machines)]
	id := m.worker
	k := w.workers[id]
	if k == nil || k.ended || m.listedWorker != id {
		return
	}
	m.listedWorker = ""
	w.notifyOwner(mfsched.WorkerUnlisted{Worker: id})
	w.after(d, func() {
		if k.ended || w.workers[id] != k {
			return
		}
		m.listedWorker = id
		w.notifyOwner(mfsched.WorkerListed{Worker: k.listing})
	})
}

// Hidden says how the list of machines misrepresents one.
type Hidden int

// Kinds of misrepresentation.
const (
	// HiddenMachine: the machine is missing.
	HiddenMachine Hidden = iota + 1
	// HiddenWorker: the machine is up and has no worker.
	HiddenWorker
)

// HideMachine misrepresents a machine in lists for d.
func (w *World) HideMachine(index int, how Hidden, d time.Duration) {
	m := w.machines[index%len(w.machines)]
	m.hidden = how
	w.after(d, func() { m.hidden = 0 })
}

// machineList composes a list of machines.
func (w *World) machineList() []mothferry.Machine {
	var machines []mothferry.Machine
	for _, m := range w.machines {
		listed := mothferry.Machine{Machine: m.id, Pool: m.pool, State: m.state, Capacity: m.capacity, Worker: m.worker}
		switch {
		case m.hidden == HiddenMachine:
			continue
		case m.hidden == HiddenWorker && m.state == mothferry.MachineUp:
			listed.Worker = ""
		}
		machines = append(machines, listed)
	}
	return machines
}

// composedList is a list of machines composed some time ago.
type composedList struct {
	at       time.Time
	machines []mothferry.Machine
}

// drawList returns a list of machines, which may be an older one.
func (w *World) drawList() []mothferry.Machine {
	current := composedList{w.now, w.machineList()}
	w.lists = append(w.lists, current)
	for len(w.lists) > 1 && w.now.Sub(w.lists[0].at) > w.Late.ListBy {
		w.lists = w.lists[1:]
	}
	if w.chance(w.Late.OldList) {
		return w.lists[w.Random.IntN(len(w.lists))].machines
	}
	return current.machines
}

// Resubmit hands a job in again.
func (w *World) Resubmit(id mothferry.JobID) {
	w.after(inboxDelay, func() {
		c := w.jobs[id]
		c.submissionDeleted = false
		w.notifyOwner(mfsched.JobFound{Job: id, Submission: c.submission})
	})
}

// DrawLateness draws how late things are in a history; has reports whether it has a kind of
// lateness.
func DrawLateness(r *rand.Rand, has func(kind string) bool) Lateness {
	share := func(kind string, most float64) float64 {
		p := r.Float64() * most
		if !has(kind) {
			return 0
		}
		return p
	}
	return Lateness{
		Relays: r.IntN(3),
		Send:   share("send", 0.1), SendBy: 5 * time.Second,
		Hold: share("hold", 0.2), HoldAnswer: share("answer", 0.2), HoldBy: 5 * time.Second,
		Resend: share("resend", 0.2),
		Worker: share("worker", 0.2), WorkerBy: 2 * time.Second,
		Commit: share("commit", 0.1), CommitBy: 3 * time.Second,
		List: share("list", 0.5), OldList: share("oldlist", 0.1), ListBy: 3 * time.Second,
		Claims: true,
	}
}
