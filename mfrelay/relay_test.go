package mfrelay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mfrecord"
	"mothferry/mfrelay"
)

const orderTimeout = 300 * time.Millisecond

func discardLog() *log.Entry {
	return log.NewEntry(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
}

// fakeWorkers stands for the workers that one host calls. It counts calls; reply, if set,
// answers them.
type fakeWorkers struct {
	mutex sync.Mutex
	calls int
	reply func() (mothferry.PollReport, error)
}

func (w *fakeWorkers) answer() (mothferry.PollReport, error) {
	w.mutex.Lock()
	w.calls++
	reply := w.reply
	w.mutex.Unlock()
	if reply == nil {
		return mothferry.PollReport{Clock: 7}, nil
	}
	return reply()
}

func (w *fakeWorkers) setReply(reply func() (mothferry.PollReport, error)) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.reply = reply
}

func (w *fakeWorkers) callCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.calls
}

func (w *fakeWorkers) Start(context.Context, mothferry.WorkerAddress, mothferry.StartOrder) (mothferry.WorkerClock, error) {
	r, err := w.answer()
	return r.Clock, err
}

func (w *fakeWorkers) Stop(context.Context, mothferry.WorkerAddress, mothferry.TaskName, mothferry.RunNumber, mothferry.Epoch) (mothferry.WorkerClock, error) {
	r, err := w.answer()
	return r.Clock, err
}

func (w *fakeWorkers) Poll(context.Context, mothferry.WorkerAddress, mothferry.PollOrder) (mothferry.PollReport, error) {
	return w.answer()
}

func (w *fakeWorkers) Pace(context.Context, mothferry.WorkerAddress, mothferry.TaskName, mothferry.RunNumber, int, mothferry.Epoch) (mothferry.WorkerClock, error) {
	r, err := w.answer()
	return r.Clock, err
}

// fleet is an owner with relays on loopback.
type fleet struct {
	relay  *mfrelay.Relay
	direct *fakeWorkers
	hosts  []mfrecord.Host
}

func newFleet() *fleet {
	direct := &fakeWorkers{}
	return &fleet{direct: direct, relay: &mfrelay.Relay{
		Daemon: "owner", Direct: direct, OrderTimeout: orderTimeout, Clock: mfclock.System{}, Log: discardLog(),
	}}
}

// addHost adds a host that relays orders to w, and returns its server and what ends it.
func (f *fleet) addHost(t *testing.T, id mothferry.DaemonID, w mothferry.TaskWorkers) (*mfrelay.Server, context.CancelFunc) {
	address := freeAddress(t)
	s := &mfrelay.Server{Address: address, Workers: w, Clock: mfclock.System{}, Log: discardLog()}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Run(ctx) }()
	f.hosts = append(f.hosts, mfrecord.Host{Daemon: id, DataCentre: "dc", Address: address, Cores: 800})
	f.relay.SetHosts(f.hosts)
	return s, cancel
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// start runs the owner's side, and polls so many workers that relays are chosen. It returns what ends
// the owner's side.
func (f *fleet) start(t *testing.T) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range 200 {
		_, err := f.relay.Poll(ctx, worker(i), mothferry.PollOrder{})
		assert.NilError(t, err)
	}
	go func() { _ = f.relay.Run(ctx) }()
	return cancel
}

func worker(i int) mothferry.WorkerAddress {
	return mothferry.WorkerAddress{Worker: mothferry.WorkerID(fmt.Sprintf("w-%03d", i)), Address: "10.0.0.1:1", DataCentre: "dc"}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not within 10 s: " + what)
}

func (f *fleet) look(i int) error {
	_, err := f.relay.Poll(context.Background(), worker(i), mothferry.PollOrder{Wait: 10 * time.Millisecond})
	return err
}

// allRelayed reports whether polls of all workers go via relays.
func (f *fleet) allRelayed() bool { return f.firstRelayed(200) }

// firstRelayed reports whether polls of the first workers go via relays.
func (f *fleet) firstRelayed(workers int) bool {
	before := f.direct.callCount()
	var failed atomic.Bool
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() {
			if f.look(i) != nil {
				failed.Store(true)
			}
		})
	}
	group.Wait()
	return !failed.Load() && f.direct.callCount() == before
}

// Every kind of order reaches the worker via a relay, and its answer comes back unchanged.
func TestAnswersRoundTrip(t *testing.T) {
	f := newFleet()
	remote := &fakeWorkers{}
	f.addHost(t, "r-1", remote)
	f.start(t)
	eventually(t, "all orders are relayed", f.allRelayed)

	task := mothferry.TaskName{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	report := mothferry.PollReport{
		Clock:     mothferry.WorkerClock(3 * time.Second),
		StartedAt: 1_700_000_000_000,
		Running:   []mothferry.RunningTask{{Task: task, Run: 4, Checkpoint: "c", Percent: 50, TailLatency: time.Millisecond}},
		Ended:     []mothferry.EndedTask{{Number: 9, Task: task, Run: 3, Cause: mothferry.EndFailed, Checkpoint: "d"}},
	}
	set := func(r mothferry.PollReport, err error) {
		remote.setReply(func() (mothferry.PollReport, error) { return r, err })
	}
	ctx := context.Background()
	set(report, nil)
	got, err := f.relay.Poll(ctx, worker(1), mothferry.PollOrder{})
	assert.NilError(t, err)
	assert.DeepEqual(t, got, report)
	clock, err := f.relay.Start(ctx, worker(1), mothferry.StartOrder{Task: task, Run: 4})
	assert.NilError(t, err)
	assert.Equal(t, clock, report.Clock)

	set(mothferry.PollReport{}, &mothferry.ErrOrderRefused{Refusal: mothferry.RefusalCapacity, Clock: 5})
	_, err = f.relay.Start(ctx, worker(1), mothferry.StartOrder{Task: task, Run: 5})
	var refused *mothferry.ErrOrderRefused
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Refusal, mothferry.RefusalCapacity)
	assert.Equal(t, refused.Clock, mothferry.WorkerClock(5))

	set(mothferry.PollReport{}, &mothferry.ErrIncarnationEnded{Worker: "w-001"})
	_, err = f.relay.Stop(ctx, worker(1), task, 5, 1)
	var gone *mothferry.ErrIncarnationEnded
	assert.Assert(t, errors.As(err, &gone), "%v", err)
	assert.Equal(t, gone.Worker, mothferry.WorkerID("w-001"))

	set(mothferry.PollReport{}, &mothferry.ErrUnavailable{Operation: "pace", Err: io.EOF})
	_, err = f.relay.Pace(ctx, worker(1), task, 5, 50, 1)
	var unavailable *mothferry.ErrUnavailable
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
}

// When a relay crashes, the workers that it serves must not count as unresponsive: polls that
// wait at it are repeated without it, while a pending start ends as unknown, since it may have
// been executed, and is not repeated.
func TestRelayCrash(t *testing.T) {
	const perKind = 10
	f := newFleet()
	f.relay.OrderTimeout = 5 * time.Second
	remote := &fakeWorkers{}
	_, kill := f.addHost(t, "r-1", remote)
	f.start(t)
	eventually(t, "orders are relayed", func() bool { return f.firstRelayed(perKind) })
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	remote.setReply(func() (mothferry.PollReport, error) {
		<-release
		return mothferry.PollReport{}, nil
	})
	remoteBefore, directBefore := remote.callCount(), f.direct.callCount()
	polls, starts := make(chan error, perKind), make(chan error, perKind)
	for i := range perKind {
		go func() { polls <- f.look(i) }()
		go func() {
			_, err := f.relay.Start(context.Background(), worker(i), mothferry.StartOrder{})
			starts <- err
		}()
	}
	eventually(t, "all orders wait at the relay", func() bool { return remote.callCount() == remoteBefore+2*perKind })
	assert.Equal(t, f.direct.callCount(), directBefore)
	assert.Equal(t, len(polls)+len(starts), 0)
	kill()
	for range perKind {
		assert.NilError(t, <-polls)
		assertUnknown(t, <-starts)
	}
	assert.Equal(t, f.direct.callCount(), directBefore+perKind)
}

// assertUnknown requires that the error of an order leaves open whether it was executed.
func assertUnknown(t *testing.T, err error) {
	t.Helper()
	var refused *mothferry.ErrOrderRefused
	var ended *mothferry.ErrIncarnationEnded
	assert.Assert(t, err != nil && !errors.As(err, &refused) && !errors.As(err, &ended), "%v", err)
}

// A relay that hangs while its connections stay open must not hold the orders of its workers:
// it is lost within a second, and its workers are called without it.
func TestUnresponsiveRelayIsLost(t *testing.T) {
	f := newFleet()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan struct{}, 10)
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
			accepted <- struct{}{}
		}
	}()
	f.relay.SetHosts([]mfrecord.Host{{Daemon: "r-1", DataCentre: "dc", Address: listener.Addr().String(), Cores: 800}})
	f.start(t)
	<-accepted
	began := time.Now()
	eventually(t, "worker is called", func() bool { return f.look(1) == nil })
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
}

// A relay that is about to stop answers what it has and gets nothing new.
func TestLeavingRelayGetsNoOrders(t *testing.T) {
	f := newFleet()
	leaving, staying := &fakeWorkers{}, &fakeWorkers{}
	server, _ := f.addHost(t, "r-1", leaving)
	f.addHost(t, "r-2", staying)
	f.start(t)
	eventually(t, "both relays are used", func() bool {
		return f.allRelayed() && leaving.callCount() > 0 && staying.callCount() > 0
	})
	server.Leave()
	eventually(t, "the leaving relay gets no more orders", func() bool {
		before := leaving.callCount()
		return f.allRelayed() && leaving.callCount() == before
	})
}

// The owner of a small fleet calls its workers directly.
func TestFewWorkersNeedNoRelay(t *testing.T) {
	f := newFleet()
	remote := &fakeWorkers{}
	f.addHost(t, "r-1", remote)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.relay.Run(ctx) }()
	for range 3 {
		for i := range 100 {
			assert.NilError(t, f.look(i))
		}
		time.Sleep(300 * time.Millisecond)
	}
	assert.Equal(t, remote.callCount(), 0)
}
