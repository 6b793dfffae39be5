package mfsched

import (
	"time"

	"mothferry"
)

const (
	// earlyCancelRetention is how long an early cancellation is kept: longer than a write of the job
	// may be applied late, or another attempt to hand the job in may be under way.
	earlyCancelRetention = 30 * time.Second
	// maxDeleteEarlyCancels bounds the rows of one call: a transaction takes 100 entries, and each
	// row has a check.
	maxDeleteEarlyCancels = 45
)

// EarlyCancel names a cancellation, by a caller of an account, of a job that did not exist.
type EarlyCancel struct {
	Job     mothferry.JobID
	Account mothferry.AccountID
}

// earlyCancels holds the stored early cancellations. The store applies no write of such a job while
// its row exists; the owner cancels those that a host of an older version wrote all the same.
type earlyCancels struct {
	stored map[EarlyCancel]earlyCancelRow
	// found holds them in the order in which they were found, some more than once.
	found []foundEarlyCancel
}

type earlyCancelRow struct {
	version mothferry.Version
	foundAt time.Time
}

type foundEarlyCancel struct {
	EarlyCancel
	at time.Time
}

func (c *earlyCancels) add(e EarlyCancel, version mothferry.Version, now time.Time) {
	if c.stored == nil {
		c.stored = map[EarlyCancel]earlyCancelRow{}
	}
	c.stored[e] = earlyCancelRow{version: version, foundAt: now}
	c.found = append(c.found, foundEarlyCancel{EarlyCancel: e, at: now})
}

// covers reports whether a job was cancelled before it was found.
func (c *earlyCancels) covers(j *job) bool {
	_, ok := c.stored[EarlyCancel{Job: j.id, Account: j.submission.Account}]
	return ok
}

// deleteEarlyCancels asks to delete the early cancellations that need not be kept any longer.
func (s *State) deleteEarlyCancels(now time.Time) {
	c := &s.earlyCancels
	rows := map[EarlyCancel]mothferry.Version{}
	for len(c.found) > 0 && len(rows) < maxDeleteEarlyCancels && now.Sub(c.found[0].at) >= earlyCancelRetention {
		f := c.found[0]
		c.found = c.found[1:]
		if row, ok := c.stored[f.EarlyCancel]; ok && row.foundAt.Equal(f.at) {
			rows[f.EarlyCancel] = row.version
		}
	}
	if len(rows) > 0 {
		s.emit(DeleteEarlyCancels{Rows: rows})
	}
}

// earlyCancelsDeleted drops the early cancellations whose rows are deleted. The others are deleted
// later, in the version that was found last.
func (s *State) earlyCancelsDeleted(e EarlyCancelsDeleted, now time.Time) {
	c := &s.earlyCancels
	for id, version := range e.Rows {
		row, ok := c.stored[id]
		switch {
		case !ok:
		case !e.Deleted:
			c.add(id, row.version, now)
		case row.version == version:
			delete(c.stored, id)
		}
	}
}
