package mfowner

import (
	"mothferry"
	"mothferry/mffeed"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

// load reads what earlier owners stored. It is read after the shard was taken
// over, so that nothing can be added by them any more.
func (s *session) load() error {
	waves, err := s.readShard(mfrecord.TableOwner)
	if err != nil {
		return err
	}
	if err := s.restoreWaves(waves); err != nil {
		return err
	}
	rows, err := s.readShard(mfrecord.TableProgress)
	if err != nil {
		return err
	}
	segments, err := s.readShard(mfrecord.TableLog)
	if err != nil {
		return err
	}
	newest, journal, err := mfjournal.Read(rows, segments)
	if err != nil {
		return err
	}
	s.journal = journal
	s.progress = map[mothferry.JobID]*mfjob.Progress{}
	over := 0
	for id, p := range newest {
		if p.State.Final() {
			over++
			s.step(mfsched.JobOver{Job: id, State: p.State})
		}
		s.progress[id] = &p
	}
	s.owner.Log.WithField("jobs", len(rows)).WithField("over", over).WithField("segments", len(segments)).Info("progress is read")
	return nil
}

// readShard reads a table's rows of the shard. It tries until the store
// answers: the shard is this host's until another one takes it, which the next
// commit shows.
func (s *session) readShard(table mothferry.TableID) ([]mothferry.Row, error) {
	for {
		rows, _, err := mffeed.ReadAll(s.ctx, s.owner.Store, mothferry.RowRange{Table: table, Part: mfrecord.PartShard})
		if err == nil {
			return rows, nil
		}
		s.owner.Log.WithError(err).Warn("the shard can't be read, trying again")
		if err := s.chain.write(s.ctx, s.chain.head, nil); err != nil {
			return nil, err
		}
	}
}
