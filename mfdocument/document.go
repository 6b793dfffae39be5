// Package mfdocument holds a team's document of one service: its YAML form, its
// validation and its row in the platform's table.
package mfdocument

import (
	"encoding/json"
	"fmt"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mfyaml"
)

// Class is the priority class of a service.
type Class string

// Priority classes, the more urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassBatch  Class = "batch"
)

// Document specifies one service and its needs.
type Document struct {
	Service mothferry.ServiceID `yaml:"service" json:"service"`
	Team    mothferry.TeamID    `yaml:"team" json:"team"`
	Class   Class               `yaml:"class" json:"class"`
	// Runners is the number of runners in all places together.
	Runners int `yaml:"runners" json:"runners"`
	// Program names the program that a worker starts as this service's runner.
	Program        string         `yaml:"program" json:"program"`
	Place          Place          `yaml:"place" json:"place"`
	Resources      Resources      `yaml:"resources" json:"resources"`
	Runner         Runner         `yaml:"runner" json:"runner"`
	Unavailability Unavailability `yaml:"unavailability" json:"unavailability"`
	Requests       Requests       `yaml:"requests" json:"requests"`
	Customers      Customers      `yaml:"customers" json:"customers"`
}

// Place restricts where runners may run.
type Place struct {
	DataCentres []mothferry.DataCentre `yaml:"data_centres" json:"data_centres"`
	Pools       []mothferry.PoolID     `yaml:"pools" json:"pools"`
}

// Resources is the demand of one runner.
type Resources struct {
	Cores        Cores                  `yaml:"cores" json:"cores"`
	Memory       Memory                 `yaml:"memory" json:"memory"`
	Accelerators mothferry.Accelerators `yaml:"accelerators" json:"accelerators"`
}

// Demand returns the resources in the units that placement counts in.
func (r Resources) Demand() mothferry.Resources {
	return mothferry.Resources{
		Cores:        mothferry.Millicores(r.Cores),
		Memory:       mothferry.Bytes(r.Memory),
		Accelerators: r.Accelerators,
	}
}

// Runner holds the limits of one runner.
type Runner struct {
	Slots       mothferry.Slots       `yaml:"slots" json:"slots"`
	Connections mothferry.Connections `yaml:"connections" json:"connections"`
}

// Unavailability is the unavailability budget of the service.
type Unavailability struct {
	// Runners is how many runners may be unavailable at the same time, whatever the cause.
	Runners int `yaml:"runners" json:"runners"`
	// Time is for how long in each Window more than that many runners may be unavailable.
	Time   time.Duration `yaml:"time" json:"time"`
	Window time.Duration `yaml:"window" json:"window"`
}

// Requests specifies how requests of the service are handled.
type Requests struct {
	// Deadline applies to a request that states no shorter one.
	Deadline time.Duration `yaml:"deadline" json:"deadline"`
	// Repeatable lists the requests that may run more than once.
	Repeatable []Repeatable `yaml:"repeatable,omitempty" json:"repeatable,omitempty"`
}

// Repeatable matches requests by method and path prefix.
type Repeatable struct {
	Methods []string `yaml:"methods" json:"methods"`
	Path    string   `yaml:"path" json:"path"`
}

// Customers holds limits for each customer.
type Customers struct {
	// InFlight bounds one customer's requests being handled or queued at one entry host.
	InFlight int `yaml:"in_flight" json:"in_flight"`
	// Named overrides InFlight for single customers.
	Named map[mothferry.CustomerID]int `yaml:"named,omitempty" json:"named,omitempty"`
}

// Cores is processor capacity, written as a number of cores such as 0.5.
type Cores mothferry.Millicores

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Cores) UnmarshalText(text []byte) error {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || value < 0 || value > 1e6 {
		return trace.BadParameter("a number of cores such as 2 or 0.5")
	}
	*c = Cores(value * 1000)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (c Cores) MarshalText() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(c)/1000, 'f', -1, 64), nil
}

// MarshalYAML implements yaml.Marshaler: a plain number, without quotes.
func (c Cores) MarshalYAML() (any, error) {
	return float64(c) / 1000, nil
}

// Memory is an amount of memory, written with a unit such as 512MiB.
type Memory mothferry.Bytes

var memoryUnits = []struct {
	name string
	size mothferry.Bytes
}{{"GiB", mothferry.Gibibyte}, {"MiB", mothferry.Mebibyte}, {"KiB", mothferry.Kibibyte}}

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Memory) UnmarshalText(text []byte) error {
	for _, u := range memoryUnits {
		number, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err == nil && value >= 0 && value < 1e9 {
			*m = Memory(value * float64(u.size))
			return nil
		}
	}
	return trace.BadParameter("an amount of memory such as 512MiB or 2GiB")
}

// MarshalText implements encoding.TextMarshaler.
func (m Memory) MarshalText() ([]byte, error) {
	for _, u := range memoryUnits {
		if size := Memory(u.size); m%size == 0 || u.size == mothferry.Kibibyte {
			number := strconv.FormatFloat(float64(m)/float64(size), 'f', -1, 64)
			return []byte(number + u.name), nil
		}
	}
	return nil, trace.BadParameter("memory of %d bytes has no unit", int64(m))
}

// Default returns the values of fields that a document does not state.
func Default() Document {
	return Document{
		Class:     ClassUrgent,
		Program:   "runner",
		Resources: Resources{Cores: 1000, Memory: Memory(mothferry.Gibibyte)},
		Runner:    Runner{Slots: 8, Connections: 64},
		Requests:  Requests{Deadline: 10 * time.Second},
		Customers: Customers{InFlight: 64},
	}
}

// Parse decodes and validates a document; file is named in the reported problems.
func Parse(file string, data []byte) (Document, error) {
	document := Default()
	v := mfyaml.Decode(file, data, &document)
	if err := v.Err(); err != nil {
		return Document{}, trace.Wrap(err)
	}
	document.check(v)
	if err := v.Err(); err != nil {
		return Document{}, trace.Wrap(err)
	}
	return document, nil
}

var serviceName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Largest values that a document may state.
const (
	maxRunners  = 100_000
	maxDeadline = time.Hour
	maxWindow   = 366 * 24 * time.Hour
)

func (d *Document) check(v *mfyaml.Validator) {
	if !serviceName.MatchString(string(d.Service)) {
		v.Reject("service", "must be a name of lower-case letters, digits and dashes, up to 63")
	}
	if d.Team == "" {
		v.Reject("team", "must name the team that owns the document")
	}
	if d.Class != ClassUrgent && d.Class != ClassBatch {
		v.Reject("class", "must be urgent or batch")
	}
	if d.Runners < 0 || d.Runners > maxRunners {
		v.Reject("runners", "must be from 0 to %d", maxRunners)
	}
	if d.Program == "" {
		v.Reject("program", "must name what a worker starts")
	}
	checkNames(v, "place.data_centres", d.Place.DataCentres)
	checkNames(v, "place.pools", d.Place.Pools)
	if d.Resources.Accelerators < 0 {
		v.Reject("resources.accelerators", "must not be negative")
	}
	if d.Runner.Slots < 1 {
		v.Reject("runner.slots", "must be above 0")
	}
	if d.Runner.Connections < mothferry.Connections(d.Runner.Slots) {
		v.Reject("runner.connections", "must be at least runner.slots (%d)", d.Runner.Slots)
	}
	d.checkUnavailability(v)
	d.checkRequests(v)
	if d.Customers.InFlight < 1 {
		v.Reject("customers.in_flight", "must be above 0")
	}
	for name, limit := range d.Customers.Named {
		if limit < 1 {
			v.Reject("customers.named."+string(name), "must be above 0")
		}
	}
}

func (d *Document) checkUnavailability(v *mfyaml.Validator) {
	u := d.Unavailability
	if u.Runners < 0 || u.Runners > d.Runners {
		v.Reject("unavailability.runners", "must be from 0 to runners (%d)", d.Runners)
	}
	if u.Window <= 0 || u.Window > maxWindow {
		v.Reject("unavailability.window", "must be above 0 and at most %s", maxWindow)
	}
	if u.Time < 0 || u.Time > u.Window {
		v.Reject("unavailability.time", "must be from 0 to the window")
	}
}

func (d *Document) checkRequests(v *mfyaml.Validator) {
	if d.Requests.Deadline <= 0 || d.Requests.Deadline > maxDeadline {
		v.Reject("requests.deadline", "must be above 0 and at most %s", maxDeadline)
	}
	for i, r := range d.Requests.Repeatable {
		field := "requests.repeatable." + strconv.Itoa(i)
		if len(r.Methods) == 0 {
			v.Reject(field+".methods", "must list at least one method")
		}
		for _, m := range r.Methods {
			if m == "" || m != strings.ToUpper(m) {
				v.Reject(field+".methods", "must be methods in capitals such as GET, not %q", m)
			}
		}
		if !strings.HasPrefix(r.Path, "/") {
			v.Reject(field+".path", "must begin with /")
		}
	}
}

func checkNames[T ~string](v *mfyaml.Validator, field string, names []T) {
	if len(names) == 0 {
		v.Reject(field, "must list at least one")
	}
	for i, n := range names {
		if n == "" || strings.Contains(string(n), "/") || slices.Contains(names[:i], n) {
			v.Reject(fmt.Sprintf("%s.%d", field, i), "must be a name without a slash, listed once")
		}
	}
}

// MayRepeat reports whether a request of this method and path may run more
// than once. The path is cleaned first, so that "/a/../pay" is matched as "/pay"
// and not by the prefix "/a".
func (d *Document) MayRepeat(method, requestPath string) bool {
	clean := path.Clean("/" + requestPath)
	for _, r := range d.Requests.Repeatable {
		if slices.Contains(r.Methods, method) && underPrefix(clean, r.Path) {
			return true
		}
	}
	return false
}

func underPrefix(p, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return p == prefix || strings.HasPrefix(p, prefix+"/")
}

// InFlightLimit returns the limit of one customer at one entry host.
func (d *Document) InFlightLimit(customer mothferry.CustomerID) int {
	if limit, ok := d.Customers.Named[customer]; ok {
		return limit
	}
	return d.Customers.InFlight
}

// Share returns how many of the document's runners belong to a shard. They are
// distributed evenly over the places in the order of the document, so that every
// shard holder computes its own number without coordination.
func (d *Document) Share(s mothferry.Shard) int {
	centre := slices.Index(d.Place.DataCentres, s.DataCentre)
	pool := slices.Index(d.Place.Pools, s.Pool)
	if centre < 0 || pool < 0 {
		return 0
	}
	// The remainder is spread over the data centres first, before a second pool of
	// the same data centre gets a runner.
	rank := pool*len(d.Place.DataCentres) + centre
	places := len(d.Place.DataCentres) * len(d.Place.Pools)
	share := d.Runners / places
	if rank < d.Runners%places {
		share++
	}
	return share
}

// Record is an accepted document: its row in the platform's table.
type Record struct {
	Document Document           `json:"document"`
	Revision mothferry.Revision `json:"revision"`
	Author   string             `json:"author"`
	Time     time.Time          `json:"time"`
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// DecodeRecord reads the stored form of a record.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of a document", Detail: err.Error()})
	}
	if record.Revision == 0 || !serviceName.MatchString(string(record.Document.Service)) {
		return Record{}, trace.Wrap(&mothferry.ErrBadReply{Operation: "read of a document", Detail: "service or revision is missing"})
	}
	return record, nil
}
