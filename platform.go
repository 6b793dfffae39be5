package mothferry

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"
)

// Key names a row of the platform's table.
type Key string

// MaxKeyBytes is how long a key may be.
const MaxKeyBytes = 200

// after returns the first key after k; empty if there is none.
func (k Key) after() Key {
	if len(k) < MaxKeyBytes {
		return k + "\x00"
	}
	return k.afterPrefix()
}

// afterPrefix returns the first key after all that begin with k; empty if there is none.
func (k Key) afterPrefix() Key {
	for k != "" {
		r, size := utf8.DecodeLastRuneInString(string(k))
		k = k[:len(k)-size]
		if r++; r == firstSurrogate {
			r = lastSurrogate + 1
		}
		if utf8.ValidRune(r) && len(k)+utf8.RuneLen(r) <= MaxKeyBytes {
			return k + Key(r)
		}
	}
	return ""
}

const (
	firstSurrogate rune = 0xD800
	lastSurrogate  rune = 0xDFFF
)

// NextPage returns the key from which to read on after a page that was read from one key and ends
// with another; empty if nothing can follow.
//
// A key that is not UTF-8 arrives as another one, which may be before all that the page was asked
// for: the same page would come again, without end. All keys with the same valid beginning are then
// passed over.
func NextPage(from, last Key) Key {
	if next := last.after(); next > from || next == "" {
		return next
	}
	valid, _, _ := strings.Cut(string(last), string(utf8.RuneError))
	if next := Key(valid).afterPrefix(); next > from {
		return next
	}
	return ""
}

// Row is one row of the platform's table.
type Row struct {
	// Table and Part are empty where the store has only one table.
	Table   TableID
	Part    PartID
	Key     Key
	Value   []byte
	Version Version
	// Deleted marks a row that a feed reports as deleted.
	Deleted bool
	// Expires is when the platform may delete the row; zero means never.
	Expires time.Time
}

// Query selects rows by exact key and by key prefix.
type Query struct {
	Keys     []Key
	Prefixes []Key
}

// Check requires that a row has exactly this version (0: absent) for a
// transaction to be applied.
type Check struct {
	Table   TableID
	Part    PartID
	Key     Key
	Version Version
}

// Write sets or deletes one row.
type Write struct {
	Table   TableID
	Part    PartID
	Key     Key
	Value   []byte
	Delete  bool
	Expires time.Time
}

// Txn is one atomic change: all writes are applied if all checks hold, otherwise none.
type Txn struct {
	// SpansParts is set if its rows lie in several parts, which takes longer.
	SpansParts bool
	Checks     []Check
	Writes     []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Read returns the rows that exist, all as of one moment, ordered by key.
	Read(ctx context.Context, q Query) ([]Row, error)
	// Commit applies txn and returns the version that every row it wrote now
	// has. Versions grow over the whole table and are never used twice. It
	// fails with ErrConflict if a check does not hold and with ErrUnavailable
	// if the platform did not reply; in the second case the change may or may
	// not have been applied.
	Commit(ctx context.Context, txn Txn) (Version, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// HostState is the state of a host in the platform's host list.
type HostState string

// States of a host in the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is one entry of the host list.
type ListedHost struct {
	Host  HostID
	State HostState
}

// HostList is the platform's list of live and leaving hosts. It is updated with a delay.
type HostList interface {
	Hosts(ctx context.Context, dc DataCentre) ([]ListedHost, error)
}

// TaskSpec asks a worker to run one runner of a service.
type TaskSpec struct {
	Task        TaskID
	Service     ServiceID
	Program     string
	Resources   Resources
	Slots       Slots
	Connections Connections
}

// TaskState is the state of a task as its worker reports it.
type TaskState string

// States of a task on its worker.
const (
	TaskStarting TaskState = "starting"
	TaskServing  TaskState = "serving"
	TaskStopping TaskState = "stopping"
	TaskFailed   TaskState = "failed"
)

// TaskStatus is one task as its worker reports it.
type TaskStatus struct {
	Task    TaskID
	Service ServiceID
	State   TaskState
	// Address is the IP and port at which a serving task takes requests.
	Address string
	// Used is the measured usage of the task, reported with a delay.
	Used Resources
}

// WorkerReport is the last report of one worker on its tasks.
type WorkerReport struct {
	Host  HostID
	Tasks []TaskStatus
}

// WorkerAPI starts and stops tasks on workers. Start and Stop are idempotent
// by task id and fail with ErrFenced once the worker has seen a larger epoch
// for the shard.
type WorkerAPI interface {
	// Reports returns the last reports of the named workers of a data centre.
	Reports(ctx context.Context, dc DataCentre, hosts []HostID) ([]WorkerReport, error)
	Start(ctx context.Context, host HostID, fence Fence, task TaskSpec) error
	Stop(ctx context.Context, host HostID, fence Fence, task TaskID) error
}

// Fence names the lease under which an operation is done.
type Fence struct {
	Shard Shard
	Epoch Epoch
}

// Pools drains and reboots hosts of a pool.
type Pools interface {
	Drain(ctx context.Context, host HostID, fence Fence) error
	Reboot(ctx context.Context, host HostID, fence Fence) error
}

// Platform groups the platform's services.
type Platform struct {
	Table   Table
	Objects ObjectStore
	Hosts   HostList
	Workers WorkerAPI
	Pools   Pools
}
