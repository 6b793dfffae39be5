package mfforward

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"mothferry"
	"mothferry/mfrecord"
)

const (
	// avoidUnserved is how long a peer that the store does not serve is not asked again. It is
	// short, as the store may serve this peer and refuse other hosts by then.
	avoidUnserved = time.Second
	// avoidLost is how long a peer that was lost or can't be reached is not asked again: about
	// as long as a restart takes.
	avoidLost = 2 * time.Second
	// missesBeforePause is how many peers in a row must be unable to help before the store
	// counts as down for all hosts and no peer is asked for pauseDuration. With half of the
	// hosts not served, the chance of that many in a row is 1 in 64.
	missesBeforePause = 6
	pauseDuration     = 500 * time.Millisecond
	// missesBeforeRemote is how many of those misses make peers of other data centres come
	// first: this host's data centre may be partitioned from the store.
	missesBeforeRemote = 3
)

// Peers is what a host knows of the other hosts. It is not safe for concurrent use.
type Peers struct {
	self       mothferry.DaemonID
	dataCentre mothferry.DataCentre
	peers      []mfrecord.Host
	avoided    map[mothferry.DaemonID]avoided
	// misses counts consecutive peers that could not help.
	misses      int
	pausedUntil time.Time
}

// avoided is until when a peer is not asked, and how often in a row it could not help.
type avoided struct {
	until  time.Time
	misses int
}

// NewPeers returns the peers of a host, none until Set is called.
func NewPeers(self mothferry.DaemonID, at mothferry.DataCentre) *Peers {
	return &Peers{self: self, dataCentre: at, avoided: map[mothferry.DaemonID]avoided{}}
}

// Set replaces the known hosts. Hosts without a forwarding address are left out.
func (p *Peers) Set(hosts []mfrecord.Host) {
	p.peers = nil
	for _, h := range hosts {
		if h.Daemon != p.self && h.Forward != "" {
			p.peers = append(p.peers, h)
		}
	}
}

// compare orders peers by their consecutive misses, then by data centre, then by rank. Peers of
// this host's data centre come first, or last after missesBeforeRemote misses. The rank differs
// from host to host: hosts that the store does not serve spread over their peers, and each uses
// only a few of them.
func (p *Peers) compare(a, b mfrecord.Host) int {
	byDistance := cmp.Compare(p.distance(a), p.distance(b))
	if p.misses >= missesBeforeRemote {
		byDistance = -byDistance
	}
	return cmp.Or(
		cmp.Compare(p.avoided[a.Daemon].misses, p.avoided[b.Daemon].misses), byDistance,
		cmp.Compare(rank(p.self, a.Daemon), rank(p.self, b.Daemon)), cmp.Compare(a.Daemon, b.Daemon),
	)
}

func (p *Peers) distance(h mfrecord.Host) int {
	if h.DataCentre == p.dataCentre {
		return 0
	}
	return 1
}

// rank orders the peers of a host, for each host in a different order. With FNV alone, names
// that differ only in their last letter get nearly the same order.
func rank(self, peer mothferry.DaemonID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(peer))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(self))
	sum := h.Sum64()
	// The finalizer of MurmurHash3 spreads each bit over all.
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// Choose returns the peer to ask next, or false if there is none. It skips peers that were
// already asked for this call, and those that full reports to have as many calls as one host
// may send them.
//
// While the store does not serve some of the hosts, all their calls go to the others. A peer
// that is not served either, or is lost, is skipped for a while instead of costing each call an
// attempt; after missesBeforePause misses, no peer is asked until the pause ends.
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

// RecordStatus records whether the store serves a peer, as that peer reported.
func (p *Peers) RecordStatus(peer mothferry.DaemonID, serving bool, now time.Time) {
	if serving {
		p.misses = 0
		delete(p.avoided, peer)
		return
	}
	p.recordMiss(peer, now, avoidUnserved)
}

// RecordLoss records that a peer was lost or can't be reached.
func (p *Peers) RecordLoss(peer mothferry.DaemonID, now time.Time) {
	p.recordMiss(peer, now, avoidLost)
}

// recordMiss avoids a peer for d. Failures of concurrent calls to one peer count as one miss.
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
		// One more miss after the pause starts the next pause.
		p.misses = missesBeforePause - 1
		p.pausedUntil = now.Add(pauseDuration)
	}
}
