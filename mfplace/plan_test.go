package mfplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mothferry"
	"mothferry/mfdocument"
	"mothferry/mffake"
	"mothferry/mfhost"
	"mothferry/mfplacement"
)

var shard = mothferry.Shard{DataCentre: "dc1", Pool: "p"}

// fleet is a shard of workers that do what plans ask of them, some of the time.
type fleet struct {
	hosts     []Host
	documents []mfdocument.Document
	placement mfplacement.Record
	tasks     map[mothferry.TaskID]bool
	quiesced  bool
}

func newFleet(hosts int) *fleet {
	f := &fleet{tasks: map[mothferry.TaskID]bool{}, quiesced: true}
	for i := range hosts {
		f.hosts = append(f.hosts, Host{
			Record: mfhost.Record{
				Host: mothferry.HostID(fmt.Sprintf("h%02d", i)), Rack: mothferry.RackID(fmt.Sprint("r", i/4)), Pool: "p", State: mfhost.StateServing,
				Capacity: mothferry.Resources{Cores: 4000, Memory: 8 * mothferry.Gibibyte},
			},
			Listed: mothferry.HostLive, Reported: true, Tasks: map[mothferry.TaskID]mothferry.TaskStatus{},
		})
	}
	return f
}

func (f *fleet) setDocument(service mothferry.ServiceID, runners int) {
	d := mfdocument.Default()
	d.Service, d.Runners = service, runners
	d.Place = mfdocument.Place{DataCentres: []mothferry.DataCentre{"dc1"}, Pools: []mothferry.PoolID{"p"}}
	for i := range f.documents {
		if f.documents[i].Service == service {
			f.documents[i] = d
			return
		}
	}
	f.documents = append(f.documents, d)
}

// step plans once and lets the workers carry the plan out.
func (f *fleet) step() Output {
	out := Plan(Input{Shard: shard, Epoch: 1, Previous: f.placement, Documents: f.documents, Hosts: f.hosts, Quiesced: func(mfplacement.Runner) bool { return f.quiesced }})
	f.placement = out.Placement
	for _, s := range out.Starts {
		f.host(s.Host).Tasks[s.Task.Task] = mothferry.TaskStatus{Task: s.Task.Task, Service: s.Task.Service, State: mothferry.TaskServing, Address: "127.0.0.1:1"}
	}
	for _, s := range out.Stops {
		delete(f.host(s.Host).Tasks, s.Task)
	}
	return out
}

func (f *fleet) host(id mothferry.HostID) *Host {
	for i := range f.hosts {
		if f.hosts[i].Record.Host == id {
			return &f.hosts[i]
		}
	}
	return nil
}

func (f *fleet) serving(service mothferry.ServiceID) int {
	count := 0
	for _, r := range f.placement.Runners {
		if r.Service == service && r.State == mfplacement.StateServing {
			count++
		}
	}
	return count
}

func (f *fleet) settle() {
	for range 8 {
		f.step()
	}
}

// TestPlanInvariants plays any sequence of document changes, failing tasks, dying,
// emptied and leaving hosts. No host is ever overfilled, no task id is used
// twice, and once things are quiet exactly the wanted runners serve, on hosts
// that stay, and nothing changes any more.
func TestPlanInvariants(t *testing.T) {
	mffake.Check(t, func(t *rapid.T) {
		f := newFleet(16)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			h := &f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				f.setDocument(rapid.SampledFrom([]mothferry.ServiceID{"a", "b"}).Draw(t, "service"), rapid.IntRange(0, 12).Draw(t, "runners"))
			case 1:
				for id, s := range h.Tasks {
					s.State = mothferry.TaskFailed
					h.Tasks[id] = s
				}
			case 2:
				h.Listed, h.Reported, h.Tasks = "", false, map[mothferry.TaskID]mothferry.TaskStatus{}
			case 3:
				h.Listed, h.Reported = mothferry.HostLive, true
				h.Record.State = mfhost.StateServing
			case 4:
				h.Record.State = mfhost.StateDraining
			case 5:
				h.Listed = mothferry.HostLeaving
			}
			out := f.step()
			for _, s := range out.Starts {
				f.tasks[s.Task.Task] = true
			}
			f.check(t)
		}
		for i := range f.hosts {
			f.hosts[i].Listed, f.hosts[i].Reported, f.hosts[i].Record.State = mothferry.HostLive, true, mfhost.StateServing
		}
		f.settle()
		for _, d := range f.documents {
			assert.Equal(t, f.serving(d.Service), d.Runners)
		}
		assert.Assert(t, !f.step().Changed, "a settled plan goes on changing")
	})
}

func (f *fleet) check(t *rapid.T) {
	used := map[mothferry.HostID]mothferry.Resources{}
	seen := map[mothferry.TaskID]bool{}
	for _, r := range f.placement.Runners {
		assert.Assert(t, !seen[r.Task], "task id %s twice", r.Task)
		seen[r.Task] = true
		used[r.Host] = used[r.Host].Add(r.Resources)
	}
	for id, u := range used {
		assert.Assert(t, u.Fits(f.host(id).Record.Capacity), "%s is overfilled", id)
	}
}

// TestEvacuationKeepsServing: emptying hosts by decision never lowers the number
// of runners that serve, and no runner moves twice though hosts go one by one.
func TestEvacuationKeepsServing(t *testing.T) {
	f := newFleet(12)
	f.setDocument("a", 8)
	f.settle()
	for i := range 4 {
		f.hosts[i].Record.State = mfhost.StateDraining
		for range 6 {
			f.step()
			assert.Assert(t, f.serving("a") >= 8)
		}
		assert.Equal(t, len(f.hosts[i].Tasks), 0)
	}
	assert.Equal(t, f.serving("a"), 8)
}

// TestLeavingHostGetsNoWork: a host that the platform takes away gets no new
// work at once, though no other host has room for its runners.
func TestLeavingHostGetsNoWork(t *testing.T) {
	f := newFleet(1)
	f.setDocument("a", 2)
	f.settle()
	f.quiesced = false
	f.hosts[0].Listed = mothferry.HostLeaving
	out := f.step()
	assert.Equal(t, f.serving("a"), 0)
	assert.Equal(t, len(out.Stops), 0, "stopped before the entry hosts were done")
	assert.Equal(t, out.Unplaced["a"], 2)
}

// TestFailingHostIsAvoided: symptom, a service never gets its runners though
// most hosts are fine. Sequence: a worker fails every task and is therefore
// the emptiest. Cause: choosing the emptiest host without regard to failures.
func TestFailingHostIsAvoided(t *testing.T) {
	f := newFleet(4)
	for i := range f.hosts {
		f.hosts[i].Record.Rack = "r"
	}
	f.setDocument("a", 3)
	failing := &f.hosts[0]
	for range 6 {
		f.step()
		for id, s := range failing.Tasks {
			s.State = mothferry.TaskFailed
			failing.Tasks[id] = s
		}
	}
	assert.Equal(t, f.serving("a"), 3)
	assert.Equal(t, f.placement.Failures[failing.Record.Host], 1)
}

// BenchmarkPlan measures one plan of a shard where nothing changes, by its
// number of hosts, with four runners on each.
func BenchmarkPlan(b *testing.B) {
	for _, hosts := range []int{19, 76, 304} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			f := newFleet(hosts)
			for i := range hosts / 4 {
				f.setDocument(mothferry.ServiceID(fmt.Sprint("s", i)), 16)
			}
			f.settle()
			for b.Loop() {
				f.step()
			}
		})
	}
}
