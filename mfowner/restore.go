package mfowner

import (
	"context"
	"time"

	"github.com/apex/log"

	"mothferry"
	"mothferry/mfclock"
	"mothferry/mffeed"
	"mothferry/mfjob"
	"mothferry/mfjournal"
	"mothferry/mfrecord"
	"mothferry/mfsched"
)

// Times of reading what earlier owners stored.
const (
	// renewInterval is how often an owner rewrites the head while it reads its shard. What goes
	// wrong otherwise: reading takes longer than the others wait for an owner that stores
	// nothing, each takes the shard from the one before, and none ever runs it. One notices
	// by takeovers that follow one another without a "progress is read".
	renewInterval = 250 * time.Millisecond
	// logReadSeconds is in how many seconds a link as wide as the owner's carries the shard's log.
	logReadSeconds = 1
	bitsPerByte    = 8
	// pagesPerSecond is the part of a second that a page may take on the owner's link, with rows
	// of the log of up to 48 kB and rows of jobs of half a kilobyte: rewrites of the head have
	// to get through beside it.
	pagesPerSecond = 4
	logRowBytes    = 48 << 10
	jobRowBytes    = 512
	maxPageRows    = 500
	// readRetryDelay is the pause after a read that failed.
	readRetryDelay = 100 * time.Millisecond
)

// storedShard is what earlier owners stored of a shard.
type storedShard struct {
	waves []mothferry.Row
	// jobs counts the jobs that have a row, segments the rows of the log.
	jobs, segments int
	progress       map[mothferry.JobID]mfjob.Progress
	journal        *mfjournal.Journal
}

// load reads what earlier owners stored. It is read after the shard was taken
// over, so that nothing can be added by them any more.
func (s *session) load() error {
	in, err := s.readWhileRenewing()
	if err != nil {
		return err
	}
	if err := s.restoreWaves(in.waves); err != nil {
		return err
	}
	s.journal = in.journal
	s.journal.MaxLog = mothferry.Bytes(s.owner.Link/bitsPerByte) * logReadSeconds
	s.progress = map[mothferry.JobID]*mfjob.Progress{}
	over := 0
	for id, p := range in.progress {
		if p.State.Final() {
			over++
			s.step(mfsched.JobFinished{Job: id, State: p.State})
		}
		s.progress[id] = &p
	}
	reading := in.journal.ReadStats()
	s.owner.Log.WithFields(log.Fields{
		"epoch": s.state.Epoch, "jobs": in.jobs, "over": over, "segments": in.segments,
		"oldest_segment": reading.Oldest, "newest_segment": reading.Newest, "newest_after": reading.After, "superseded": reading.Superseded,
	}).Info("progress is read")
	return nil
}

// readWhileRenewing reads the shard and keeps it meanwhile. It fails once another host has it.
func (s *session) readWhileRenewing() (storedShard, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	type result struct {
		in  storedShard
		err error
	}
	read := make(chan result, 1)
	go func() {
		in, err := s.readShard(ctx)
		read <- result{in, err}
	}()
	for {
		select {
		case r := <-read:
			return r.in, r.err
		case <-s.owner.Clock.After(renewInterval):
		}
		sent := s.owner.Clock.Now()
		if err := s.committer.write(s.ctx, s.committer.head, nil); err != nil {
			return storedShard{}, err
		}
		s.confirmedAt = sent
	}
}

// readShard reads and decodes what is stored of the shard.
func (s *session) readShard(ctx context.Context) (storedShard, error) {
	var in storedShard
	waves, err := s.readTable(ctx, mfrecord.TableOwner, jobRowBytes)
	if err != nil {
		return in, err
	}
	rows, err := s.readTable(ctx, mfrecord.TableProgress, jobRowBytes)
	if err != nil {
		return in, err
	}
	segments, err := s.readTable(ctx, mfrecord.TableLog, logRowBytes)
	if err != nil {
		return in, err
	}
	in.waves, in.jobs, in.segments = waves, len(rows), len(segments)
	in.progress, in.journal, err = mfjournal.Read(rows, segments)
	return in, err
}

// readTable reads a table's rows of the shard. It tries until the store answers: the
// shard is this host's until another one takes it, which the next rewrite of the head shows.
func (s *session) readTable(ctx context.Context, table mothferry.TableID, rowBytes int) ([]mothferry.Row, error) {
	page := pageRows(s.owner.Link, rowBytes)
	for {
		rows, _, err := mffeed.ReadAll(ctx, s.owner.Store, mothferry.RowRange{Table: table, Part: mfrecord.PartShard, Limit: page})
		if err == nil {
			return rows, nil
		}
		s.owner.Log.WithError(err).WithField("table", table).Warn("the shard can't be read, trying again")
		if !mfclock.Sleep(ctx, s.owner.Clock, readRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// pageRows is how many rows one read asks for over a link; zero if that is not known.
func pageRows(link mothferry.Bandwidth, rowBytes int) int {
	if link <= 0 {
		return 0
	}
	return min(maxPageRows, max(1, int(link)/bitsPerByte/pagesPerSecond/rowBytes))
}
