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
		d.store.loseOnce("job/"+j.ID, 6*time.Second)
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
	if last.After(acknowledged.Add(cancelTime)) {
		d.record.printf("UNASKED: a task of %s started %.2f s after its cancelling was acknowledged", j.ID, last.Sub(acknowledged).Seconds())
		return false, nil
	}
	if running > 0 {
		d.record.printf("UNASKED: a task of %s runs on", j.ID)
	}
	return running == 0, nil
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

// playCrash crashes runners in turn under a job whose tasks never fail. LOST: it must not be shown as failed.
func playCrash(d *deployment, trouble bool) (bool, error) {
	j := &job{ID: "36f85c0e7a21d94b", Spec: "plain", Steps: []step{{Count: 120, CPU: 500, MemMB: 128, EstMs: 8000}}}
	if !d.submit(d.daemons[0], j) {
		return false, errors.New("the job was not accepted")
	}
	if !await(5*time.Second, func() bool { return d.fleet.runningOf(j.ID) == j.Steps[0].Count }) {
		return false, errors.New("the tasks did not begin")
	}
	state := ""
	for i := range 40 {
		time.Sleep(time.Second)
		if trouble {
			d.fleet.machines[i%len(d.fleet.machines)].crash(900 * time.Millisecond)
		}
		if _, state = d.call(d.daemons[1], http.MethodGet, j.ID, nil); state == "failed" || state == "completed" {
			break
		}
	}
	await(40*time.Second, func() bool {
		_, state = d.call(d.daemons[1], http.MethodGet, j.ID, nil)
		time.Sleep(time.Second)
		return state == "failed" || state == "completed"
	})
	d.fleet.mutex.Lock()
	defer d.fleet.mutex.Unlock()
	d.record.printf("%d starts, %d crashes of runners, ends by kind %v", d.fleet.starts, d.fleet.crashes, d.fleet.ends)
	if state == "failed" && d.fleet.ends["failed"] == 0 {
		d.record.printf("LOST: job %s is shown as failed, and no run of it has ended failed", j.ID)
		return false, nil
	}
	return state == "completed", nil
}
