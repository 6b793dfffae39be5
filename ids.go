package mothferry

// ServiceID names a service; it is also the first path segment of a caller's URL.
type ServiceID string

// CustomerID names the customer on whose behalf a caller sends a request.
type CustomerID string

// AccountID names a client account of a fleet that runs jobs; empty for none.
type AccountID string

// TeamID names the team that owns a service document.
type TeamID string

// DataCentre names a data centre, the unit that a network partition separates.
type DataCentre string

// RackID names a rack, the failure domain below a data centre.
type RackID string

// HostID names a worker host.
type HostID string

// PoolID names a pool of hosts.
type PoolID string

// TaskID names one run of a runner on a worker. It is never reused.
type TaskID string

// DaemonID names one mothferry daemon, which is one entry host.
type DaemonID string

// RequestID names one request of a caller.
type RequestID string

// Token names one attempt to change the platform's state, so that a writer
// whose reply was lost recognises its own write.
type Token string

// Revision counts accepted changes to the service documents, fleet-wide.
type Revision uint64

// Epoch counts the holders of a control lease. A larger epoch fences a smaller one.
type Epoch uint64

// Version identifies the transaction that last wrote a row. It grows with each transaction of
// the whole store, and all rows of one transaction have the same. Version 0 means that the
// row is absent.
type Version uint64

// Generation counts the published placements of one shard.
type Generation uint64

// Shard is the unit of control: one pool within one data centre.
type Shard struct {
	DataCentre DataCentre
	Pool       PoolID
}

// String returns the shard as "data centre/pool".
func (s Shard) String() string {
	return string(s.DataCentre) + "/" + string(s.Pool)
}
