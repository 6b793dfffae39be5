//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	finishTime = 14 * time.Second
	// stallTime is how long a job may have nothing running while its turn has come.
	stallTime  = 3 * time.Second
	cancelTime = 3 * time.Second
)

// playGang crashes one runner under a wide gang. LOST: the gang has to run again.
func playGang(d *deployment, trouble bool) (bool, error) {
	wide := &job{ID: "5c0e7a21d94b36f8", Spec: "wide", Steps: []step{{Count: 1000, CPU: 300, MemMB: 64, EstMs: 6000, Gang: true}}}
	narrow := &job{ID: "1d94b36f85c0e7a2", Spec: "narrow", Steps: []step{{Count: 100, CPU: 300, MemMB: 64, EstMs: 6000, Gang: true}}}
	for _, j := range []*job{wide, narrow} {
		if !d.submit(d.daemons[0], j) {
			return false, errors.New("a job was not accepted")
		}
	}
	present := func(j *job) func() bool {
		return func() bool { return d.fleet.runningOf(j.ID) == j.Steps[0].Count }
	}
	if !await(10*time.Second, present(wide)) || !await(10*time.Second, present(narrow)) {
		return false, errors.New("a gang did not begin")
	}
	time.Sleep(time.Second)
	if trouble {
		for _, j := range []*job{wide, narrow} {
			if m := d.fleet.busiest(j.ID); m != nil {
				m.crash(4500 * time.Millisecond)
			}
		}
	}
	return d.judgeProgress([]*job{wide, narrow}, 12*time.Second)
}

// judgeProgress waits for jobs to be completed, and checks LOST from finishTime after the end of the traffic.
func (d *deployment) judgeProgress(jobs []*job, before time.Duration) (bool, error) {
	time.Sleep(before)
	time.Sleep(finishTime)
	held := true
	for _, j := range jobs {
		status, state := d.call(d.daemons[1], http.MethodGet, j.ID, nil)
		if status != http.StatusOK {
			d.record.printf("LOST: job %s gets no answer or is not known", j.ID)
			held = false
		}
		if state == "completed" {
			continue
		}
		began := time.Now()
		idle := !await(2*stallTime, func() bool { return d.fleet.runningOf(j.ID) > 0 })
		total, used := d.fleet.capacity()
		need := int64(j.Steps[0].Count) * j.Steps[0].CPU
		d.record.printf("job %s is %s; nothing of it runs for %.1f s: %v; its turn has come; it takes %d of %d thousandths of a core, of which %d are in use", j.ID, state, time.Since(began).Seconds(), idle, need, total, used)
		if idle && total-used >= 2*need && 2*used < total {
			d.record.printf("LOST: job %s has nothing running, and there is capacity for it twice over", j.ID)
			held = false
		}
	}
	if !held {
		time.Sleep(20 * time.Second)
		for _, j := range jobs {
			d.call(d.daemons[2], http.MethodGet, j.ID, nil)
			d.record.printf("job %s has %d tasks running", j.ID, d.fleet.runningOf(j.ID))
		}
	}
	return held, nil
}

// playCancel makes the store perform the write of a job's acceptance late and unanswered, and has the
// client cancel the job. UNASKED: no task starts later than cancelTime after that was acknowledged.
func playCancel(d *deployment, trouble bool) (bool, error) {
	stopOthers := d.submitOthers(d.daemons[0])
	defer stopOthers()
	time.Sleep(2 * time.Second)
	j := &job{ID: "7a21d94b36f85c0e", Spec: "lasting", Steps: []step{{Count: 5, CPU: 1300, MemMB: 1024, EstMs: 500, LongRunning: true}}}
	if trouble {
		d.store.loseOnce("job/"+j.ID, 5500*time.Millisecond)
	}
	d.submit(d.daemons[0], j)
	status, _ := d.call(d.daemons[0], http.MethodDelete, j.ID, nil)
	if status/100 != 2 && status != http.StatusGone {
		return false, errors.New("the cancelling was not acknowledged")
	}
	acknowledged := time.Now()
	d.record.printf("the cancelling of %s is acknowledged", j.ID)
	time.Sleep(20 * time.Second)
	for _, n := range d.daemons {
		d.call(n, http.MethodGet, j.ID, nil)
	}
	running := d.fleet.runningOf(j.ID)
	d.fleet.mutex.Lock()
	last := d.fleet.lastStart[j.ID]
	d.fleet.mutex.Unlock()
	d.record.printf("%d tasks of %s run 20 s after its cancelling was acknowledged", running, j.ID)
	held := true
	if last.After(acknowledged.Add(cancelTime)) {
		d.record.printf("UNASKED: a task of %s started %.2f s after its cancelling was acknowledged", j.ID, last.Sub(acknowledged).Seconds())
		held = false
	}
	if running > 0 {
		d.record.printf("UNASKED: %d tasks of %s run on, with no disruption for longer than cancel_ms and stop_ms", running, j.ID)
		held = false
	}
	return held, nil
}

// otherInterval is the time between two small jobs of other clients.
const otherInterval = 100 * time.Millisecond

// submitOthers hands in small jobs at a daemon, as other clients do, until the function that it returns
// is called.
func (d *deployment) submitOthers(n *daemon) (stop func()) {
	done := make(chan struct{})
	go func() {
		for number := 1; ; number++ {
			select {
			case <-done:
				return
			case <-time.After(otherInterval):
			}
			go d.submit(n, &job{ID: fmt.Sprintf("%016x", number), Spec: "small", Steps: []step{{Count: 1, CPU: 300, MemMB: 64, EstMs: 200}}})
		}
	}()
	return func() { close(done) }
}

const (
	// adviceTraffic is how long clients hand jobs in, adviceInterval the time between two of them.
	adviceTraffic  = 25 * time.Second
	adviceInterval = 250 * time.Millisecond
	burstFrom      = 8 * time.Second
	burstFor       = 4 * time.Second
	// burstTenths is the traffic of the burst in tenths of the usual.
	burstTenths = 26
)

// playAdvice sends a burst to a queue with advice. LOST: its jobs have to run once the burst is over.
func playAdvice(d *deployment, trouble bool) (bool, error) {
	var accepted []*job
	began := time.Now()
	for number := 1; time.Since(began) < adviceTraffic; number++ {
		j := &job{ID: fmt.Sprintf("%016x", number), Spec: "advised", Steps: []step{{Count: 4, CPU: 500, MemMB: 64, EstMs: 500}}}
		if d.submit(d.daemons[number%len(d.daemons)], j) {
			accepted = append(accepted, j)
		}
		interval, passed := adviceInterval, time.Since(began)
		if trouble && passed >= burstFrom && passed < burstFrom+burstFor {
			interval = adviceInterval * 10 / burstTenths
		}
		time.Sleep(interval)
		if number%10 == 0 {
			d.reportAdvisers()
		}
	}
	d.record.printf("the traffic ends, %d jobs are accepted", len(accepted))
	if len(accepted) == 0 {
		return false, errors.New("no job was accepted")
	}
	time.Sleep(finishTime)
	d.reportAdvisers()
	var open []*job
	for _, j := range accepted {
		if status, state := d.call(d.daemons[0], http.MethodGet, j.ID, nil); status != http.StatusOK || state != "completed" {
			open = append(open, j)
		}
	}
	before := d.startsOf(open)
	time.Sleep(10 * time.Second)
	d.reportAdvisers()
	after := d.startsOf(open)
	total, used := d.fleet.capacity()
	lost := 0
	for i, j := range open {
		need := int64(j.Steps[0].Count) * j.Steps[0].CPU
		idle := d.fleet.runningOf(j.ID) == 0 && after[i].Equal(before[i])
		if idle && total-used >= 2*need && 2*used < total {
			d.record.printf("LOST: job %s has had nothing running for 10 s, and there is capacity for it twice over", j.ID)
			lost++
		}
	}
	d.record.printf("%d of %d accepted jobs are not completed, %d of these are lost; %d of %d thousandths of a core are in use", len(open), len(accepted), lost, used, total)
	return lost == 0, nil
}

// startsOf returns when runners last began a task of each job.
func (d *deployment) startsOf(jobs []*job) []time.Time {
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	var out []time.Time
	for _, j := range jobs {
		out = append(out, d.fleet.lastStart[j.ID])
	}
	return out
}

func (d *deployment) reportAdvisers() {
	for _, a := range d.advisers {
		a.report()
	}
}
