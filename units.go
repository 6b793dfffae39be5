package mothferry

// Millicores is processor capacity in thousandths of a core.
type Millicores int64

// Bytes is an amount of memory or data.
type Bytes int64

// Bandwidth is the capacity of a link, in bits a second.
type Bandwidth int64

// Accelerators counts accelerator devices.
type Accelerators int64

// Slots counts the requests that a runner handles concurrently.
type Slots int

// Connections counts open transport connections to one runner.
type Connections int

// Sizes and bandwidths in their base units.
const (
	Kibibyte Bytes = 1 << 10
	Mebibyte Bytes = 1 << 20
	Gibibyte Bytes = 1 << 30

	MegabitPerSecond Bandwidth = 1_000_000
)

// Resources is the demand of a runner or the capacity of a worker.
type Resources struct {
	Cores        Millicores   `json:"cores"`
	Memory       Bytes        `json:"memory"`
	Accelerators Accelerators `json:"accelerators"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{Cores: r.Cores + o.Cores, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{Cores: r.Cores - o.Cores, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether a demand of r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.Cores <= free.Cores && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}
