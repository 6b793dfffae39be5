package mfrelay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// The load it answers: the owner of 1,100 workers starts 3,500 tasks a second at the
// height of a turn and looks at workers as often, which its host's share of a core does
// not carry. Decisions can't be divided as simply, as pools trade
// machines; calls can.

// Figures of the choice of relays.
const (
	// directWorkersCap is up to how many workers an owner calls them itself.
	directWorkersCap = 150
	// directWorkersPerMegabit is up to how many workers an owner calls itself for each megabit a second of
	// its link. Calls of its own leave commits no room on a narrow one.
	directWorkersPerMegabit = 15
	// workersPerRelay is for how many workers there is one relay: as many as three strong
	// hosts of a data centre have each with 220 workers there.
	workersPerRelay = 80
	// strongFraction is the part of the strongest host's share with which a host is
	// preferred as a relay.
	strongFraction = 0.75
)

// MaxDirectWorkers returns up to how many workers an owner with such a link calls them itself.
func MaxDirectWorkers(link mothferry.Bandwidth) int {
	if link <= 0 {
		return directWorkersCap
	}
	return min(directWorkersCap, int(directWorkersPerMegabit*link/mothferry.MegabitPerSecond))
}

// Choose returns the hosts that should pass orders on, given how many workers each
// data centre has and up to how many the owner calls itself. Relays are near the workers, so that one compact message crosses
// between data centres in place of many calls. Strong hosts come first; avoided ones
// are not chosen.
func Choose(hosts []mfrecord.Host, workers map[mothferry.DataCentre]int, direct int, avoid func(mothferry.DaemonID) bool) []mfrecord.Host {
	total := 0
	strongest := mothferry.Millicores(0)
	for _, n := range workers {
		total += n
	}
	if total <= direct {
		return nil
	}
	near := map[mothferry.DataCentre][]mfrecord.Host{}
	for _, h := range hosts {
		strongest = max(strongest, h.Cores)
		if !avoid(h.Daemon) {
			near[h.DataCentre] = append(near[h.DataCentre], h)
		}
	}
	var chosen []mfrecord.Host
	for at, n := range workers {
		candidates := near[at]
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

// rank orders relays for a worker: the highest has it. It depends on the two ids
// alone, so that a relay that comes or goes changes the relay of few workers, each of
// which is a new connection to a worker.
func rank(worker mothferry.WorkerID, relay mothferry.DaemonID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(relay))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	return h.Sum32()
}

// roster holds the workers that were called lately.
type roster struct {
	workers map[mothferry.WorkerID]*assignment
}

// assignment is the relay of one worker.
type assignment struct {
	dataCentre mothferry.DataCentre
	lastCalled time.Time
	// link is nil while nobody passes orders on for it.
	link *link
	// generation is that of the links when the choice was made.
	generation int
}

// rosterTTL is after how long without a call a worker no longer counts: an owner
// looks at each worker every two seconds at least.
const rosterTTL = 6 * time.Second

// countByDataCentre returns how many workers each data centre has.
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
