// Package mfsnapshot holds the state that one daemon has in force: the service
// documents and the placements of its data centre, as one immutable value that
// requests read without a lock.
package mfsnapshot

import (
	"maps"
	"sync"
	"sync/atomic"

	"mothferry"
	"mothferry/mfdocument"
	"mothferry/mfplacement"
)

// Snapshot is the state in force at one moment. It is immutable.
type Snapshot struct {
	Revision   mothferry.Revision
	Documents  map[mothferry.ServiceID]mfdocument.Record
	Placements map[mothferry.PoolID]mfplacement.Record
	// Runners holds the runners of this data centre by service, whatever their state.
	Runners map[mothferry.ServiceID][]mfplacement.Runner
}

// Document returns the document in force for a service.
func (s *Snapshot) Document(service mothferry.ServiceID) (mfdocument.Record, bool) {
	r, ok := s.Documents[service]
	return r, ok
}

// Delta holds every document that was accepted after Base, up to Revision.
type Delta struct {
	Base     mothferry.Revision
	Revision mothferry.Revision
	Records  []mfdocument.Record
}

// Store holds the snapshot in force and replaces it as newer state arrives.
// State may arrive in any order, repeatedly or with gaps; the revision and the
// generations in force never decrease.
type Store struct {
	mutex   sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{}
}

// NewStore returns a store with nothing in force.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(&Snapshot{
		Documents:  map[mothferry.ServiceID]mfdocument.Record{},
		Placements: map[mothferry.PoolID]mfplacement.Record{},
		Runners:    map[mothferry.ServiceID][]mfplacement.Runner{},
	})
	return s
}

// Current returns the snapshot in force.
func (s *Store) Current() *Snapshot {
	return s.current.Load()
}

// Changed returns a channel that is closed when the snapshot is next replaced.
func (s *Store) Changed() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// AdoptDelta puts a delta in force. It reports false, and changes nothing, if the
// delta is not newer than the revision in force. A delta whose base is above the
// revision in force would skip documents and is rejected as well: the caller then
// requests the changes since its own revision.
func (s *Store) AdoptDelta(d Delta) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.current.Load()
	if d.Revision <= old.Revision || d.Base > old.Revision {
		return false
	}
	next := *old
	next.Revision = d.Revision
	next.Documents = maps.Clone(old.Documents)
	for _, r := range d.Records {
		if next.Documents[r.Document.Service].Revision < r.Revision {
			next.Documents[r.Document.Service] = r
		}
	}
	s.replace(&next)
	return true
}

// AdoptPlacement puts a shard's placement in force unless the one in force is as new.
func (s *Store) AdoptPlacement(p mfplacement.Record) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old := s.current.Load()
	if p.Generation <= old.Placements[p.Pool].Generation {
		return false
	}
	next := *old
	next.Placements = maps.Clone(old.Placements)
	next.Placements[p.Pool] = p
	next.Runners = byService(next.Placements)
	s.replace(&next)
	return true
}

// Since returns the documents accepted after a revision.
func (s *Store) Since(base mothferry.Revision) Delta {
	current := s.Current()
	delta := Delta{Base: base, Revision: current.Revision}
	for _, r := range current.Documents {
		if r.Revision > base {
			delta.Records = append(delta.Records, r)
		}
	}
	return delta
}

func (s *Store) replace(next *Snapshot) {
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

func byService(placements map[mothferry.PoolID]mfplacement.Record) map[mothferry.ServiceID][]mfplacement.Runner {
	runners := map[mothferry.ServiceID][]mfplacement.Runner{}
	for _, p := range placements {
		for _, r := range p.Runners {
			runners[r.Service] = append(runners[r.Service], r)
		}
	}
	return runners
}
