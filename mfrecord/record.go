// Package mfrecord is the layout of what lasts: which rows of the store hold
// jobs, cancels, progress and the ownership of a shard.
//
//	inbox    part inbox-NN  job/ID     what a caller handed in; written once,
//	                                  deleted some seconds after the job is over
//	                       cancel/ID  a caller's cancel; written once
//	progress part SHARD    ID         how far the job is; the owner's alone
//	log      part SHARD    number     how far jobs are that changed since
//	owner    part SHARD    head       who owns the shard; rewritten by each of
//	                                  the owner's commits
//
// The inbox has parts of its own, so that entry hosts that accept jobs and the
// owner that commits progress do not wait for each other.
package mfrecord

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfshare"
)

// Tables of the project.
const (
	TableInbox    mothferry.TableID = "mothferry_inbox"
	TableProgress mothferry.TableID = "mothferry_progress"
	TableLog      mothferry.TableID = "mothferry_log"
	TableOwner    mothferry.TableID = "mothferry_owner"
)

// inboxParts is how many parts the inbox has. A part does its transactions one
// after another, so that a store that is 60 times slower does four a second in
// each: with 64 parts that is still four times what a busy deployment of today
// hands in, with one part it is a fifteenth. A successor reads them all.
const inboxParts = 64

// InboxPart is the part of a job's rows in the inbox. It depends on the id
// alone: the same job handed in at two hosts must meet the same row.
func InboxPart(id mothferry.JobID) mothferry.PartID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return mothferry.PartID(fmt.Sprintf("inbox-%02d", h.Sum32()%inboxParts))
}

// InboxParts returns all parts of the inbox.
func InboxParts() []mothferry.PartID {
	var parts []mothferry.PartID
	for i := range inboxParts {
		parts = append(parts, mothferry.PartID(fmt.Sprintf("inbox-%02d", i)))
	}
	return parts
}

// PartShard is the part of the one shard that a small deployment has.
const PartShard mothferry.PartID = "shard-0"

// KeyHead is the key of the row that names a shard's owner.
const KeyHead mothferry.Key = "head"

// KeyMaxCores is the key of the row that tells the strongest host's share.
const KeyMaxCores mothferry.Key = "strength"

const (
	prefixJob    = "job/"
	prefixCancel = "cancel/"
)

// LogKey is the key of a row of the log; keys sort as their numbers do.
func LogKey(number uint64) mothferry.Key { return mothferry.Key(fmt.Sprintf("%016x", number)) }

// LogNumber returns the number of a row of the log.
func LogNumber(k mothferry.Key) (uint64, error) {
	number, err := strconv.ParseUint(string(k), 16, 64)
	return number, trace.Wrap(err)
}

// JobKey is the inbox's key of a job.
func JobKey(id mothferry.JobID) mothferry.Key { return mothferry.Key(prefixJob + string(id)) }

// CancelKey is the inbox's key of a job's cancel.
func CancelKey(id mothferry.JobID) mothferry.Key { return mothferry.Key(prefixCancel + string(id)) }

// JobOf returns the job of an inbox key, or false for another kind of key.
func JobOf(k mothferry.Key) (mothferry.JobID, bool) {
	id, ok := strings.CutPrefix(string(k), prefixJob)
	return mothferry.JobID(id), ok
}

// CancelOf returns the job of a cancel's key, or false for another kind of key.
func CancelOf(k mothferry.Key) (mothferry.JobID, bool) {
	id, ok := strings.CutPrefix(string(k), prefixCancel)
	return mothferry.JobID(id), ok
}

// headFormat is the version of the stored form of Head. In format 1 the machines
// asked for had no age; before format 3 there was no log, which an owner must read.
const headFormat = 3

// Head is the row that names a shard's owner. Each commit of the owner checks
// and rewrites it, so that it is a lease's renewal too, commits happen one
// after another, and one whose answer was lost can't take effect after the next.
type Head struct {
	// Holder is the owner; empty if it gave the shard up.
	Holder mothferry.DaemonID
	Epoch  mothferry.Epoch
	// Cores is the holder's share of processors.
	Cores mothferry.Millicores
	// LeaseTail is how long after the commit that wrote the row workers' leases
	// may still run that this owner asked for.
	LeaseTail time.Duration
	// Token names the commit that wrote the row.
	Token mothferry.Token
	// PendingKnown says that Pending is known: a successor does not count before it
	// has read all jobs.
	PendingKnown bool
	// Pending counts the accepted jobs of each queue that have not begun.
	Pending map[mothferry.QueueID]int
	// EstimatedWaits is how long work that comes now would wait in each service.
	EstimatedWaits map[mothferry.ServiceID]time.Duration
	// Shares is how the work of client accounts stands that waits, of the longest waits;
	// nil where room is not divided among accounts.
	Shares mfshare.Allocation
	// MaxCapacity is the most of each resource that any machine has; zero while the
	// owner has not listed machines.
	MaxCapacity mothferry.Resources
	// CallAges holds the machines that this owner, or its predecessor, may have
	// asked for changes of lately, and how long before this commit: negative for
	// those that may still be asked for. An owner asks only once that is stored.
	CallAges map[mothferry.MachineID]time.Duration
	// CalledBy tells of the machines in Called that the holder itself did not ask
	// for who did.
	CalledBy map[mothferry.MachineID]mothferry.DaemonID
	// ReadAt is when this host read the row, Since when it first read this version
	// of it; neither is stored.
	ReadAt, FirstReadAt time.Time
}

type storedHead struct {
	Format  int                           `json:"format"`
	Holder  mothferry.DaemonID            `json:"holder"`
	Epoch   mothferry.Epoch               `json:"epoch"`
	Cores   mothferry.Millicores          `json:"cores"`
	TailMs  int64                         `json:"lease_tail_ms"`
	Token   mothferry.Token               `json:"token"`
	Counted bool                          `json:"counted,omitempty"`
	Pending map[mothferry.QueueID]int     `json:"pending,omitempty"`
	WaitMs  map[mothferry.ServiceID]int64 `json:"wait_ms,omitempty"`
	// Shares is missing where room is not divided among accounts, and empty where nothing waits.
	Shares  *storedShares        `json:"shares,omitempty"`
	Largest *mothferry.Resources `json:"largest,omitempty"`
	// CalledMs replaced Called in format 2.
	Called   []mothferry.MachineID                      `json:"called,omitempty"`
	CalledMs map[mothferry.MachineID]int64              `json:"called_ms,omitempty"`
	CalledBy map[mothferry.MachineID]mothferry.DaemonID `json:"called_by,omitempty"`
}

// ErrNewerHead reports a head row of a newer program.
type ErrNewerHead struct{ Format int }

// Error implements error.
func (e *ErrNewerHead) Error() string { return "the shard's owner runs a newer version of the program" }

// CallingDaemon returns who asked for a machine in Called; empty if the holder did and
// has given the shard up since.
func (h Head) CallingDaemon(machine mothferry.MachineID) mothferry.DaemonID {
	if by, other := h.CalledBy[machine]; other {
		return by
	}
	return h.Holder
}

// Encode returns the stored form.
func (h Head) Encode() ([]byte, error) {
	stored := storedHead{
		Format: headFormat, Holder: h.Holder, Epoch: h.Epoch, Cores: h.Cores,
		TailMs: h.LeaseTail.Milliseconds(), Token: h.Token, Counted: h.PendingKnown, Pending: h.Pending, CalledBy: h.CalledBy,
		CalledMs: map[mothferry.MachineID]int64{}, WaitMs: map[mothferry.ServiceID]int64{},
	}
	for service, wait := range h.EstimatedWaits {
		stored.WaitMs[service] = wait.Milliseconds()
	}
	if h.Shares != nil {
		stored.Shares = encodeShares(h.Shares)
	}
	if h.MaxCapacity != (mothferry.Resources{}) {
		stored.Largest = &h.MaxCapacity
	}
	for machine, ago := range h.CallAges {
		stored.CalledMs[machine] = ago.Milliseconds()
	}
	data, err := json.Marshal(stored)
	return data, trace.Wrap(err)
}

// DecodeHead reads the stored form.
func DecodeHead(data []byte) (Head, error) {
	var s storedHead
	if err := json.Unmarshal(data, &s); err != nil {
		return Head{}, trace.Wrap(err)
	}
	if s.Format > headFormat {
		return Head{}, &ErrNewerHead{s.Format}
	}
	h := Head{
		Holder: s.Holder, Epoch: s.Epoch, Cores: s.Cores, LeaseTail: time.Duration(s.TailMs) * time.Millisecond,
		Token: s.Token, PendingKnown: s.Counted, Pending: s.Pending, CalledBy: s.CalledBy,
		CallAges: map[mothferry.MachineID]time.Duration{}, EstimatedWaits: map[mothferry.ServiceID]time.Duration{},
	}
	for service, ms := range s.WaitMs {
		h.EstimatedWaits[service] = time.Duration(ms) * time.Millisecond
	}
	if s.Shares != nil {
		h.Shares = s.Shares.decode()
	}
	if s.Largest != nil {
		h.MaxCapacity = *s.Largest
	}
	for _, machine := range s.Called {
		h.CallAges[machine] = 0
	}
	for machine, ms := range s.CalledMs {
		h.CallAges[machine] = time.Duration(ms) * time.Millisecond
	}
	return h, nil
}
