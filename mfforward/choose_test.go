package mfforward

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfintake"
	"mothferry/mfrecord"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func hostsIn(at mothferry.DataCentre, n int) []mfrecord.Host {
	var hosts []mfrecord.Host
	for i := range n {
		hosts = append(hosts, mfrecord.Host{Daemon: mothferry.DaemonID(fmt.Sprintf("%s-%02d", at, i)), DataCentre: at, Forward: "127.0.0.1:1"})
	}
	return hosts
}

func neverFull(mothferry.DaemonID) bool { return false }

// Failure guarded against: the calls of half of the hosts all go to one peer, or across to another data centre.
func TestHostsSpreadOverNearbyPeers(t *testing.T) {
	hosts := append(hostsIn("a", 20), hostsIn("b", 20)...)
	load := map[mothferry.DaemonID]int{}
	near := 0
	for _, h := range hosts[:10] {
		p := NewPeers(h.Daemon, h.DataCentre)
		p.Set(hosts)
		now := start
		for tries := range 40 {
			peer, ok := p.Choose(nil, neverFull, now)
			assert.Assert(t, ok)
			assert.Assert(t, peer.DataCentre == h.DataCentre || tries >= missesBeforeRemote)
			assert.Assert(t, peer.Daemon != h.Daemon)
			// The other nine are turned away too.
			served := peer.Daemon >= "a-10"
			p.RecordStatus(peer.Daemon, served, now)
			if served {
				load[peer.Daemon]++
				if peer.DataCentre == h.DataCentre {
					near++
				}
				break
			}
			now = now.Add(pauseDuration)
		}
	}
	total := 0
	for peer, n := range load {
		assert.Assert(t, n <= 5, "%s carries the calls of %d hosts", peer, n)
		total += n
	}
	assert.Equal(t, total, 10)
	assert.Assert(t, near >= 7, "%d of 10 hosts have a peer near by", near)
}

// Failure guarded against: a data centre that is cut off from the store has its hosts ask each other, and no host of another one.
func TestUnservedDataCentreAsksAnother(t *testing.T) {
	p := NewPeers("a-00", "a")
	p.Set(append(hostsIn("a", 14), hostsIn("b", 14)...))
	var asked []mothferry.DaemonID
	for range maxPeersAsked {
		peer, ok := p.Choose(asked, neverFull, start)
		assert.Assert(t, ok)
		asked = append(asked, peer.Daemon)
		p.RecordStatus(peer.Daemon, peer.DataCentre == "b", start)
	}
	assert.Equal(t, asked[maxPeersAsked-1][0], byte('b'))
	later, ok := p.Choose(nil, neverFull, start.Add(10*time.Second))
	assert.Assert(t, ok)
	assert.Equal(t, later.DataCentre, mothferry.DataCentre("a"), "untried peers near by come before far ones")
}

// Failure guarded against: six calls at a time that ask one peer in vain count as six peers, and nobody is asked for a while.
func TestConcurrentFailuresAreOneMiss(t *testing.T) {
	p := NewPeers("a-00", "a")
	p.Set(hostsIn("a", 4))
	peer, ok := p.Choose(nil, neverFull, start)
	assert.Assert(t, ok)
	for range 2 * missesBeforePause {
		p.RecordStatus(peer.Daemon, false, start)
	}
	other, ok := p.Choose(nil, neverFull, start)
	assert.Assert(t, ok)
	assert.Assert(t, other.Daemon != peer.Daemon)
}

// Failure guarded against: with the store out for all, each call is passed round among all hosts.
func TestStoreOutagePausesForwarding(t *testing.T) {
	hosts := hostsIn("a", 40)
	p := NewPeers("a-00", "a")
	p.Set(hosts)
	asked, now := 0, start
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		if peer, ok := p.Choose(nil, neverFull, now); ok {
			asked++
			p.RecordStatus(peer.Daemon, false, now)
		}
	}
	assert.Assert(t, asked <= missesBeforePause+int(10*time.Second/pauseDuration), "%d peers were asked in ten seconds", asked)
	peer, ok := p.Choose(nil, neverFull, now.Add(pauseDuration))
	assert.Assert(t, ok)
	p.RecordStatus(peer.Daemon, true, now)
	again, ok := p.Choose(nil, neverFull, now.Add(pauseDuration))
	assert.Assert(t, ok)
	assert.Equal(t, again.Daemon, peer.Daemon)
}

// Failure guarded against: peers that are full, lost, without an address or were asked for the same call are asked again.
func TestUnusablePeersAreSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := append(hostsIn("a", 4), hostsIn("b", 4)...)
		hosts[1].Forward = ""
		p := NewPeers("a-00", "a")
		p.Set(hosts)
		lost := hosts[rapid.IntRange(1, 7).Draw(t, "lost")].Daemon
		full := hosts[rapid.IntRange(1, 7).Draw(t, "full")].Daemon
		p.RecordLoss(lost, start)
		now := start.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "later")) * time.Millisecond)
		var asked []mothferry.DaemonID
		for {
			peer, ok := p.Choose(asked, func(d mothferry.DaemonID) bool { return d == full }, now)
			if !ok {
				break
			}
			assert.Assert(t, peer.Daemon != full && peer.Daemon != "a-00" && peer.Forward != "")
			assert.Assert(t, peer.Daemon != lost || now.Sub(start) >= avoidLost)
			for _, d := range asked {
				assert.Assert(t, d != peer.Daemon)
			}
			asked = append(asked, peer.Daemon)
		}
		if len(asked) > 0 && lost[0] == 'a' {
			// The one that was lost comes last when it is asked again.
			asked = slices.DeleteFunc(asked, func(d mothferry.DaemonID) bool { return d == lost })
		}
		for i := 1; i < len(asked); i++ {
			assert.Assert(t, asked[i-1][0] <= asked[i][0], "the other data centre was asked first: %v", asked)
		}
	})
}

// Failure guarded against: one lost answer sends a host's calls to its peers, or a silent store is noticed only after a call's time-out.
func TestStoreIsUnavailableAfterTwoFailures(t *testing.T) {
	var h Health
	declined := error(&mothferry.ErrDeclined{Operation: "commit", Status: 503})
	assert.Assert(t, !h.Unavailable(start) && !h.Serving(start))
	h.Begin(start)(nil, start.Add(5*time.Millisecond))
	assert.Assert(t, h.Serving(start))
	h.Begin(start)(declined, start)
	assert.Assert(t, !h.Unavailable(start))
	h.Begin(start)(declined, start)
	assert.Assert(t, h.Unavailable(start) && !h.Serving(start))
	assert.Assert(t, !h.Unavailable(start.Add(failureTTL)))
	h.Begin(start)(&mothferry.ErrConflict{}, start.Add(5*time.Millisecond))
	assert.Assert(t, !h.Unavailable(start))

	// A call that has no answer while later ones have is lost; the store is there.
	end := h.Begin(start)
	later := start.Add(100 * time.Millisecond)
	h.Begin(later)(nil, later.Add(5*time.Millisecond))
	assert.Assert(t, !h.Unavailable(start.Add(time.Second)))
	end(errors.New("timed out"), start.Add(time.Second))
	assert.Assert(t, !h.Unavailable(start.Add(time.Second)))

	silent := start.Add(2 * time.Second)
	h.Begin(silent)
	assert.Assert(t, !h.Unavailable(silent.Add(unresponsiveAfter-time.Millisecond)))
	assert.Assert(t, h.Unavailable(silent.Add(unresponsiveAfter)))
}

// Failure guarded against: a store that is slow for all counts as silent, and all hosts ask each other.
func TestSlowStoreIsAvailable(t *testing.T) {
	var h Health
	h.Begin(start)(nil, start.Add(400*time.Millisecond))
	next := start.Add(500 * time.Millisecond)
	h.Begin(next)
	assert.Assert(t, !h.Unavailable(next.Add(1100*time.Millisecond)))
	assert.Assert(t, h.Unavailable(next.Add(1200*time.Millisecond)))
}

// Failure guarded against: a refusal of a job that may be stored, by this host or by a peer, or an answer that is known is thrown away.
func TestCombineAnswers(t *testing.T) {
	all := []mfintake.Outcome{
		"", mfintake.OutcomeDone, mfintake.OutcomeNotRun, mfintake.OutcomeUnknown, mfintake.OutcomeNoJob, mfintake.OutcomeIDTaken,
	}
	peers := append([]mfintake.Outcome{OutcomeNoPeer, OutcomeLimit, OutcomeNoKey, outcomeUnserved}, all[1:]...)
	for _, k := range []Kind{KindAccept, KindState, KindCancel} {
		for _, own := range all {
			for _, peer := range peers {
				for _, unclear := range []bool{false, true} {
					a := combineAnswers(k, Answer{Outcome: own}, Answer{Outcome: peer}, unclear)
					what := fmt.Sprintf("%s: own %q, peer %q, unclear %v: %q", k, own, peer, unclear, a.Outcome)
					refused := a.Outcome == mfintake.OutcomeNotRun || a.Outcome == OutcomeNoKey
					mayBe := own == mfintake.OutcomeUnknown || peer == mfintake.OutcomeUnknown || k == KindAccept && unclear
					assert.Assert(t, !refused || !mayBe, what)
					assert.Assert(t, own != mfintake.OutcomeDone || a.Outcome == mfintake.OutcomeDone, what)
					assert.Assert(t, a.Outcome != mfintake.OutcomeDone || own == mfintake.OutcomeDone || peer == mfintake.OutcomeDone, what)
					assert.Assert(t, k != KindState || a.Outcome != mfintake.OutcomeNotRun, what)
					if peer == mfintake.OutcomeUnknown {
						assert.Equal(t, retryElsewhere(k, Answer{Outcome: peer}), k == KindState)
					}
				}
			}
		}
	}
}

// Failure guarded against: a message of another program's version is taken for something that it does not say.
func TestReplyRoundTrip(t *testing.T) {
	for o := range outcomeToWire {
		assert.Equal(t, decodeReply(encodeReply(Answer{Outcome: o, RetryAfter: time.Second}, true)), Answer{Outcome: o, RetryAfter: time.Second})
	}
	assert.Equal(t, decodeReply(encodeReply(Answer{Outcome: "other"}, true)).Outcome, mfintake.OutcomeUnknown)
}
