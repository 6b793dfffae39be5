package mothferry

import (
	"context"
	"time"
)

// Key names a row of the platform's table.
type Key string

// Row is one row of the platform's table.
type Row struct {
	// Table and Part are empty where the store has but one table.
	Table   TableID
	Part    PartID
	Key     Key
	Value   []byte
	Version Version
	// Deleted marks a row that a feed reports as gone.
	Deleted bool
	// Expires is when the platform may drop the row; zero means never.
	Expires time.Time
}

// Query selects rows by exact key and by key prefix.
type Query struct {
	Keys     []Key
	Prefixes []Key
}

// Check demands that a row has exactly this version (0: absent) for a
// transaction to take effect.
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

// Txn is one atomic change: all checks hold and all writes happen, or none.
type Txn struct {
	// SpansParts says that its rows lie in several parts, which takes longer.
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
	// not have been made.
	Commit(ctx context.Context, txn Txn) (Version, error)
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, data []byte) error
}

// HostState is what the host list says of a host.
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

// HostList is the platform's list of live and leaving hosts. It lags.
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

// TaskState is a worker's word about one of its tasks.
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
	// Used is what the task was seen to use, with a lag.
	Used Resources
}

// WorkerReport is what one worker last said of its tasks.
type WorkerReport struct {
	Host  HostID
	Tasks []TaskStatus
}

// WorkerAPI starts and stops tasks on workers. Start and Stop are idempotent
// by task id and fail with ErrFenced once the worker has seen a larger epoch
// for the shard.
type WorkerAPI interface {
	// Reports returns what the named workers of a data centre last said.
	Reports(ctx context.Context, dc DataCentre, hosts []HostID) ([]WorkerReport, error)
	Start(ctx context.Context, host HostID, fence Fence, task TaskSpec) error
	Stop(ctx context.Context, host HostID, fence Fence, task TaskID) error
}

// Fence names the lease under which an act is done.
type Fence struct {
	Shard Shard
	Epoch Epoch
}

// Pools drains and reboots hosts of a pool.
type Pools interface {
	Drain(ctx context.Context, host HostID, fence Fence) error
	Reboot(ctx context.Context, host HostID, fence Fence) error
}

// Platform is everything the platform offers.
type Platform struct {
	Table   Table
	Objects ObjectStore
	Hosts   HostList
	Workers WorkerAPI
	Pools   Pools
}
