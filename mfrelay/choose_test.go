package mfrelay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfrecord"
)

func avoidNone(mothferry.DaemonID) bool { return false }

func hostsOf(dc mothferry.DataCentre, strong, weak int) []mfrecord.Host {
	var hosts []mfrecord.Host
	for i := range strong + weak {
		h := mfrecord.Host{Daemon: mothferry.DaemonID(fmt.Sprintf("%s-%02d", dc, i)), DataCentre: dc, Cores: 192}
		if i >= weak {
			h.Cores = 800
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// With 1,100 workers in five data centres, each data centre has three relays of its own, the
// strong hosts first.
func TestChoosePrefersStrongHostsNearWorkers(t *testing.T) {
	var hosts []mfrecord.Host
	workers := map[mothferry.DataCentre]int{}
	for _, dc := range []mothferry.DataCentre{"a", "b", "c", "d", "e"} {
		hosts = append(hosts, hostsOf(dc, 2, 20)...)
		workers[dc] = 220
	}
	chosen := Choose(hosts, workers, directWorkersCap, avoidNone)
	assert.Equal(t, len(chosen), 15)
	count := map[mothferry.DataCentre]int{}
	strong := 0
	for _, h := range chosen {
		count[h.DataCentre]++
		if h.Cores == 800 {
			strong++
		}
	}
	assert.Equal(t, strong, 10)
	for dc := range workers {
		assert.Equal(t, count[dc], 3)
	}
}

func TestAvoidedHostsAreReplaced(t *testing.T) {
	hosts := hostsOf("a", 1, 5)
	chosen := Choose(hosts, map[mothferry.DataCentre]int{"a": 200}, directWorkersCap, func(d mothferry.DaemonID) bool { return d == "a-05" || d == "a-00" })
	assert.Equal(t, len(chosen), 3)
	for _, h := range chosen {
		assert.Assert(t, h.Daemon != "a-05" && h.Daemon != "a-00")
	}
}

// A relay that is removed must not give workers of the other relays a new one, each by a new
// connection.
func TestFewWorkersChangeTheirRelay(t *testing.T) {
	best := func(worker mothferry.WorkerID, relays []mothferry.DaemonID) mothferry.DaemonID {
		var at mothferry.DaemonID
		for _, r := range relays {
			if at == "" || rank(worker, r) > rank(worker, at) {
				at = r
			}
		}
		return at
	}
	rapid.Check(t, func(t *rapid.T) {
		relays := []mothferry.DaemonID{"front-a-1", "front-a-2", "front-a-3", "front-a-4"}
		gone := rapid.IntRange(0, 3).Draw(t, "gone")
		var left []mothferry.DaemonID
		for i, r := range relays {
			if i != gone {
				left = append(left, r)
			}
		}
		load := map[mothferry.DaemonID]int{}
		for i := range 300 {
			id := mothferry.WorkerID(fmt.Sprintf("%06x", i*7919+rapid.IntRange(0, 1000).Draw(t, "id")))
			before := best(id, relays)
			load[before]++
			if after := best(id, left); before != relays[gone] {
				assert.Equal(t, after, before)
			}
		}
		for _, r := range relays {
			assert.Assert(t, load[r] > 30, "%v", load)
		}
	})
}

// On links of 2 Mbit/s, the owner's direct calls to some hundred workers left its commits so
// little bandwidth that they took half a second, leases expired and lasting tasks were
// unavailable. An owner with a slow link uses relays from fewer workers on; a fast link changes
// nothing.
func TestSlowLinkNeedsRelaysSooner(t *testing.T) {
	hosts := hostsOf("a", 0, 6)
	workers := map[mothferry.DataCentre]int{"a": 70}
	for link, relays := range map[mothferry.Bandwidth]int{
		0: 0, 200 * mothferry.MegabitPerSecond: 0, 10 * mothferry.MegabitPerSecond: 0, 2 * mothferry.MegabitPerSecond: 1,
	} {
		assert.Equal(t, len(Choose(hosts, workers, MaxDirectWorkers(link), avoidNone)), relays, "link of %d bits a second", link)
	}
}

// Guards against relays for workers that are gone: with a seventh of the machines changing pools each
// second, an owner had links to nearly twice the relays that its workers need.
func TestRelaysAreChosenForPresentWorkers(t *testing.T) {
	const present, replacedEachSecond, seconds = 1100, 150, 20
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := roster{workers: map[mothferry.WorkerID]*assignment{}}
	call := func(id int, at time.Time) {
		r.workers[mothferry.WorkerID(fmt.Sprintf("w-%d", id))] = &assignment{dataCentre: "a", lastCalled: at}
	}
	first := 0
	for second := range seconds {
		at := start.Add(time.Duration(second) * time.Second)
		first += replacedEachSecond
		for id := first; id < first+present; id++ {
			call(id, at)
		}
		counted := r.countByDataCentre(at)["a"]
		assert.Assert(t, counted >= present && counted < present*3/2, "second %d: %d workers", second, counted)
	}
}
