//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// Times of the queue's advice.
const (
	decideTime = 40 * time.Millisecond
	eachTime   = 10 * time.Millisecond
	ticketTime = 3 * time.Second
	// maxWaitingCalls is how many calls of one machine may wait.
	maxWaitingCalls = 32
)

// ticket allows the tasks of a step to run on a runner for a while.
type ticket struct {
	step, runner string
	until        time.Time
}

// adviser is the advice service as one machine calls it. It handles its calls one at a time, in turn.
type adviser struct {
	fleet *fleet
	name  string

	mutex    sync.Mutex
	waiting  int
	turn     sync.Mutex
	answered int
	refused  int
	// late counts the answers for which nobody waits any more.
	late int
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		JobStep string   `json:"job_step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mutex.Lock()
	full := a.waiting >= maxWaitingCalls
	if full {
		a.refused++
	} else {
		a.waiting++
	}
	a.mutex.Unlock()
	if full {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	defer a.turn.Unlock()
	a.mutex.Lock()
	a.waiting--
	a.mutex.Unlock()
	time.Sleep(decideTime + time.Duration(len(body.Workers))*eachTime)
	a.mutex.Lock()
	a.answered++
	if r.Context().Err() != nil {
		a.late++
	}
	a.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"good": a.fleet.grant(body.JobStep, body.Workers), "valid_ms": ticketTime.Milliseconds()})
}

// report records what the adviser did since the last report.
func (a *adviser) report() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.answered+a.refused > 0 {
		a.fleet.record.printf("adviser of %s: %d calls answered, %d of them after the caller had gone, %d refused with 429, %d waiting", a.name, a.answered, a.late, a.refused, a.waiting)
	}
	a.answered, a.late, a.refused = 0, 0, 0
}

// grant returns rows of id and ticket for the runners that may run a step: two of three.
func (f *fleet) grant(step string, runners []string) [][2]string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	good := [][2]string{}
	for _, id := range runners {
		h := fnv.New32a()
		_, _ = h.Write([]byte(step + id))
		if h.Sum32()%3 == 0 {
			continue
		}
		text := fmt.Sprintf("t-%d", len(f.tickets))
		f.tickets[text] = ticket{step: step, runner: id, until: time.Now().Add(ticketTime)}
		good = append(good, [2]string{id, text})
	}
	return good
}

// ticketHolds reports whether a start carries a ticket that allows it, where one is needed.
func (f *fleet) ticketHolds(o order, m *machine) bool {
	if f.tickets == nil {
		return true
	}
	t, known := f.tickets[o.Ticket]
	return known && t.step == stepName(o.Task) && t.runner == m.id && time.Now().Before(t.until)
}
