package mfrelay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// The owner of 1,100 workers starts 3,500 tasks a second at a traffic peak and polls workers as
// often, which its host's share of a core does not carry. Its calls can be spread over other
// hosts; its decisions can't be divided as simply, as pools trade machines.

const (
	// directWorkersCap is up to how many workers an owner calls them directly.
	directWorkersCap = 150
	// directWorkersPerMegabit is up to how many workers an owner calls them directly for each
	// megabit a second of its link. On a slow link its own calls leave too little bandwidth for
	// commits.
	directWorkersPerMegabit = 15
	// workersPerRelay is for how many workers there is one relay: about as many as each of
	// three strong hosts of a data centre has with 220 workers there.
	workersPerRelay = 80
	// strongFraction is the fraction of the largest core share from which a host is preferred
	// as a relay.
	strongFraction = 0.75
)

// MaxDirectWorkers returns up to how many workers an owner with such a link calls them
// directly; a link of zero is not known.
func MaxDirectWorkers(link mothferry.Bandwidth) int {
	if link <= 0 {
		return directWorkersCap
	}
	return min(directWorkersCap, int(directWorkersPerMegabit*link/mothferry.MegabitPerSecond))
}

// Choose returns the hosts that should relay orders, given how many workers each data centre
// has and up to how many the owner calls directly. Relays are in the workers' data centres, so
// that one compact message crosses between data centres in place of many calls. Strong hosts
// come first; avoided ones are not chosen.
func Choose(hosts []mfrecord.Host, workers map[mothferry.DataCentre]int, direct int, avoid func(mothferry.DaemonID) bool) []mfrecord.Host {
	total := 0
	strongest := mothferry.Millicores(0)
	for _, n := range workers {
		total += n
	}
	if total <= direct {
		return nil
	}
	byDataCentre := map[mothferry.DataCentre][]mfrecord.Host{}
	for _, h := range hosts {
		strongest = max(strongest, h.Cores)
		if !avoid(h.Daemon) {
			byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], h)
		}
	}
	var chosen []mfrecord.Host
	for at, n := range workers {
		candidates := byDataCentre[at]
		slices.SortFunc(candidates, func(a, b mfrecord.Host) int {
			return cmp.Or(cmp.Compare(weak(a, strongest), weak(b, strongest)), cmp.Compare(a.Daemon, b.Daemon))
		})
		chosen = append(chosen, candidates[:min(len(candidates), (n+workersPerRelay-1)/workersPerRelay)]...)
	}
	slices.SortFunc(chosen, func(a, b mfrecord.Host) int { return cmp.Compare(a.Daemon, b.Daemon) })
	return chosen
}

func weak(h mfrecord.Host, strongest mothferry.Millicores) int {
	if float64(h.Cores) >= strongFraction*float64(strongest) {
		return 0
	}
	return 1
}

// rank orders relays for a worker: the highest is chosen (rendezvous hashing). It depends on
// the two ids alone, so that a relay that is added or removed changes the relay of few workers,
// each of which is a new connection to a worker.
func rank(worker mothferry.WorkerID, relay mothferry.DaemonID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(relay))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	return h.Sum32()
}

// roster holds the workers that were called recently.
type roster struct {
	workers map[mothferry.WorkerID]*assignment
}

// assignment is the relay of one worker.
type assignment struct {
	dataCentre mothferry.DataCentre
	lastCalled time.Time
	// link is nil while the owner calls the worker directly.
	link *link
	// generation is the generation of the links when the link was chosen.
	generation int
}

// rosterTTL is after how long without a call a worker no longer counts: an owner polls each
// worker at least every two seconds. Machines that change pools get workers with new ids, and
// those with the old ones must not count for long.
const rosterTTL = 3 * time.Second

// countByDataCentre returns how many workers each data centre has, and removes those that no
// longer count.
func (r *roster) countByDataCentre(now time.Time) map[mothferry.DataCentre]int {
	workers := map[mothferry.DataCentre]int{}
	for id, a := range r.workers {
		if now.Sub(a.lastCalled) > rosterTTL {
			delete(r.workers, id)
			continue
		}
		workers[a.dataCentre]++
	}
	return workers
}
