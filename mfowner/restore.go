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

const (
	// renewInterval is how often an owner rewrites the head while it reads its shard. If it
	// stored nothing, reading could take longer than its lease, each host would take the shard
	// from the one before, and none would ever run it. The log would show repeated takeovers
	// without "progress is read".
	renewInterval = 250 * time.Millisecond
	// logReadSeconds is how many seconds the owner's link may take to carry the shard's log.
	logReadSeconds = 1
	bitsPerByte    = 8
	// pagesPerSecond limits a page to a quarter of a second on the owner's link, so that
	// rewrites of the head get through. Log rows have up to 48 kB, job rows half a kilobyte.
	pagesPerSecond = 4
	logRowBytes    = 48 << 10
	jobRowBytes    = 512
	maxPageRows    = 500
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 100 * time.Millisecond
)

// storedShard is what previous owners stored of a shard.
type storedShard struct {
	waves []mothferry.Row
	// jobs is the number of jobs with a row, segments the number of log rows.
	jobs, segments int
	progress       map[mothferry.JobID]mfjob.Progress
	journal        *mfjournal.Journal
}

// load reads what previous owners stored. It runs after the takeover, so that they can add
// nothing more.
func (s *session) load() error {
	stored, err := s.readWhileRenewing()
	if err != nil {
		return err
	}
	if err := s.restoreWaves(stored.waves); err != nil {
		return err
	}
	s.journal = stored.journal
	s.journal.MaxRow = s.owner.Limits.MaxRow
	s.journal.MaxLog = mothferry.Bytes(s.owner.Link/bitsPerByte) * logReadSeconds
	s.progress = map[mothferry.JobID]*mfjob.Progress{}
	finished := 0
	for id, p := range stored.progress {
		if p.State.Final() {
			finished++
			s.step(mfsched.JobFinished{Job: id, State: p.State})
		}
		s.progress[id] = &p
	}
	stats := stored.journal.ReadStats()
	s.owner.Log.WithFields(log.Fields{
		"epoch": s.state.Epoch, "jobs": stored.jobs, "over": finished, "segments": stored.segments,
		"oldest_segment": stats.Oldest, "newest_segment": stats.Newest, "newest_after": stats.After, "superseded": stats.Superseded,
	}).Info("progress is read")
	return nil
}

// readWhileRenewing reads the shard and renews the lease meanwhile. It fails once another host
// owns the shard.
func (s *session) readWhileRenewing() (storedShard, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	type result struct {
		stored storedShard
		err    error
	}
	read := make(chan result, 1)
	go func() {
		stored, err := s.readShard(ctx)
		read <- result{stored, err}
	}()
	for {
		select {
		case r := <-read:
			return r.stored, r.err
		case <-s.owner.Clock.After(renewInterval):
		}
		sent := s.owner.Clock.Now()
		if err := s.committer.write(s.ctx, s.committer.head, nil); err != nil {
			return storedShard{}, err
		}
		s.confirmedAt = sent
	}
}

// readShard reads and decodes the stored shard.
func (s *session) readShard(ctx context.Context) (storedShard, error) {
	var stored storedShard
	waves, err := s.readTable(ctx, mfrecord.TableOwner, jobRowBytes)
	if err != nil {
		return stored, err
	}
	rows, err := s.readTable(ctx, mfrecord.TableProgress, jobRowBytes)
	if err != nil {
		return stored, err
	}
	segments, err := s.readTable(ctx, mfrecord.TableLog, logRowBytes)
	if err != nil {
		return stored, err
	}
	stored.waves, stored.jobs, stored.segments = waves, len(rows), len(segments)
	stored.progress, stored.journal, err = mfjournal.Read(rows, segments)
	return stored, err
}

// readTable reads the shard's rows of a table. It retries until the store answers: this host
// owns the shard until another one takes it over, which the next rewrite of the head detects.
func (s *session) readTable(ctx context.Context, table mothferry.TableID, rowBytes int) ([]mothferry.Row, error) {
	page := pageRows(s.owner.Link, rowBytes)
	for {
		rows, _, err := mffeed.ReadAll(ctx, s.owner.Store, mothferry.RowRange{Table: table, Part: mfrecord.PartShard, Limit: page})
		if err == nil {
			return rows, nil
		}
		s.owner.Log.WithError(err).WithField("table", table).Warn("failed to read shard, retrying")
		if !mfclock.Sleep(ctx, s.owner.Clock, readRetryDelay) {
			return nil, ctx.Err()
		}
	}
}

// pageRows returns the page size in rows for reads over a link; zero if the bandwidth is
// unknown.
func pageRows(link mothferry.Bandwidth, rowBytes int) int {
	if link <= 0 {
		return 0
	}
	return min(maxPageRows, max(1, int(link)/bitsPerByte/pagesPerSecond/rowBytes))
}
