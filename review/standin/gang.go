package main

import (
	"strconv"
	"strings"
	"sync"
	"time"
)

// States of a member of a gang.
const (
	gangWaits = iota
	gangWorks
	gangAlone
	gangBroken
)

// gangs holds the members of each run of a gang.
type gangs struct {
	mutex sync.Mutex
	runs  map[string]*gang
}

type gang struct {
	present int
	began   bool
	broken  bool
}

func gangName(t *run) string {
	return t.task[:strings.LastIndexByte(t.task, '.')] + "/" + strconv.Itoa(t.number)
}

func (g *gangs) joined(t *run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k, ok := g.runs[gangName(t)]
	if !ok {
		k = &gang{}
		g.runs[gangName(t)] = k
	}
	k.present++
	k.began = k.began || k.present == t.plan.gang
}

// ended breaks the gang unless its members end done together.
func (g *gangs) ended(t *run, how string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k := g.runs[gangName(t)]
	k.present--
	if how != "done" && k.began {
		k.broken = true
	}
}

func (g *gangs) state(t *run, now time.Time) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	k := g.runs[gangName(t)]
	switch {
	case k.broken:
		return gangBroken
	case k.began:
		return gangWorks
	case now.Sub(t.start) > gangWait:
		return gangAlone
	default:
		return gangWaits
	}
}
