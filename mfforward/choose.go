package mfforward

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

// Figures of the choice of a peer.
const (
	// avoidUnserved is how long a peer that the store turns away is not asked again: a second
	// look soon, as the store may turn other hosts away by then.
	avoidUnserved = time.Second
	// avoidLost is how long a peer that was lost or can't be reached is not asked again:
	// about as long as a restart takes.
	avoidLost = 2 * time.Second
	// missesBeforePause is how many peers in a row say that the store turns them away until it
	// counts as out for all, and pauseFor how long then nobody is asked. With half of
	// the hosts turned away that many in a row are one in 64.
	missesBeforePause = 6
	pauseDuration     = 500 * time.Millisecond
	// missesBeforeRemote is how many of those let the other data centres come first: the own one
	// may be cut off from the store.
	missesBeforeRemote = 3
)

// Peers is what a host knows of the others. It is not safe for concurrent use.
type Peers struct {
	self       mothferry.DaemonID
	dataCentre mothferry.DataCentre
	peers      []mfrecord.Host
	avoided    map[mothferry.DaemonID]avoided
	// misses counts the peers in a row that could not help.
	misses      int
	pausedUntil time.Time
}

// avoided is until when a peer is not asked, and how often in a row it could not help.
type avoided struct {
	until  time.Time
	misses int
}

// NewPeers returns the peers of a host, of which none is known yet.
func NewPeers(own mothferry.DaemonID, at mothferry.DataCentre) *Peers {
	return &Peers{self: own, dataCentre: at, avoided: map[mothferry.DaemonID]avoided{}}
}

// Set replaces the hosts that are known.
func (p *Peers) Set(hosts []mfrecord.Host) {
	p.peers = nil
	for _, h := range hosts {
		if h.Daemon != p.self && h.Forward != "" {
			p.peers = append(p.peers, h)
		}
	}
}

// compare orders peers: those that could not help come after all others. Else those of
// the own data centre come first, in an order of this host's own: the hosts that are
// turned away spread over their peers, and each keeps to few of them.
func (p *Peers) compare(a, b mfrecord.Host) int {
	near := cmp.Compare(p.distance(a), p.distance(b))
	if p.misses >= missesBeforeRemote {
		near = -near
	}
	return cmp.Or(
		cmp.Compare(p.avoided[a.Daemon].misses, p.avoided[b.Daemon].misses), near,
		cmp.Compare(rank(p.self, a.Daemon), rank(p.self, b.Daemon)), cmp.Compare(a.Daemon, b.Daemon),
	)
}

func (p *Peers) distance(h mfrecord.Host) int {
	if h.DataCentre == p.dataCentre {
		return 0
	}
	return 1
}

// rank orders peers for a host, each host in another way. FNV alone has names that differ
// in their last letter agree on most of the order.
func rank(own, peer mothferry.DaemonID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(own))
	sum := h.Sum64()
	// The finalizer of MurmurHash3 spreads each bit over all.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// Choose returns the peer to ask next, of those that were not asked for this call yet
// and do not have as many calls as they get from one host; false if there is none.
//
// The load it answers: a part of the hosts is turned away, and all their calls go to
// the others. A peer that is turned away too, or is lost, is left out for a while
// instead of costing each call a try, and when all are, nobody is asked.
func (p *Peers) Choose(asked []mothferry.DaemonID, full func(mothferry.DaemonID) bool, now time.Time) (mfrecord.Host, bool) {
	if now.Before(p.pausedUntil) {
		return mfrecord.Host{}, false
	}
	var best mfrecord.Host
	found := false
	for _, h := range p.peers {
		if now.Before(p.avoided[h.Daemon].until) || slices.Contains(asked, h.Daemon) || full(h.Daemon) {
			continue
		}
		if !found || p.compare(h, best) < 0 {
			best, found = h, true
		}
	}
	return best, found
}

// RecordStatus takes in whether the store serves a peer, as that told.
func (p *Peers) RecordStatus(peer mothferry.DaemonID, serving bool, now time.Time) {
	if serving {
		p.misses = 0
		delete(p.avoided, peer)
		return
	}
	p.recordMiss(peer, now, avoidUnserved)
}

// RecordLoss takes in that a peer was lost or can't be reached.
func (p *Peers) RecordLoss(peer mothferry.DaemonID, now time.Time) {
	p.recordMiss(peer, now, avoidLost)
}

// recordMiss leaves a peer out for a while. What several calls at a time hear of one peer is
// one miss.
func (p *Peers) recordMiss(peer mothferry.DaemonID, now time.Time, d time.Duration) {
	a := p.avoided[peer]
	known := now.Before(a.until)
	if until := now.Add(d); a.until.Before(until) {
		a.until = until
	}
	if !known {
		a.misses++
		p.misses++
	}
	p.avoided[peer] = a
	if !known && p.misses >= missesBeforePause {
		// The one that is asked next decides whether the pause goes on.
		p.misses = missesBeforePause - 1
		p.pausedUntil = now.Add(pauseDuration)
	}
}
