// Package mfdocument holds a team's document of one service: its YAML form,
// its checks and the row that carries it in the platform's table.
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

// Class is a document's class of work.
type Class string

// Classes of work, the more urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassBatch  Class = "batch"
)

// Document states what one service needs.
type Document struct {
	Service mothferry.ServiceID `yaml:"service" json:"service"`
	Team    mothferry.TeamID    `yaml:"team" json:"team"`
	Class   Class               `yaml:"class" json:"class"`
	// Runners is how many runners serve, over all places together.
	Runners int `yaml:"runners" json:"runners"`
	// Program names what a worker starts as this service's runner.
	Program        string         `yaml:"program" json:"program"`
	Place          Place          `yaml:"place" json:"place"`
	Resources      Resources      `yaml:"resources" json:"resources"`
	Runner         Runner         `yaml:"runner" json:"runner"`
	Unavailability Unavailability `yaml:"unavailability" json:"unavailability"`
	Requests       Requests       `yaml:"requests" json:"requests"`
	Customers      Customers      `yaml:"customers" json:"customers"`
}

// Place says where runners may run.
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

// Unavailability is the budget: what the team tolerates.
type Unavailability struct {
	// Runners may be out at the same time, whatever the cause.
	Runners int `yaml:"runners" json:"runners"`
	// Time is how long in each Window fewer than Runners-Unavailability.Runners may serve.
	Time   time.Duration `yaml:"time" json:"time"`
	Window time.Duration `yaml:"window" json:"window"`
}

// Requests says how requests of the service are treated.
type Requests struct {
	// Deadline holds for a request that states no shorter one.
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
	// InFlight bounds one customer's requests in work or waiting at one entry host.
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

// Default returns the values that hold where a document is silent.
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

// Parse reads and checks a document; file is named in its problems.
func Parse(file string, data []byte) (Document, error) {
	document := Default()
	text := mfyaml.Decode(file, data, &document)
	if err := text.Err(); err != nil {
		return Document{}, trace.Wrap(err)
	}
	document.check(text)
	if err := text.Err(); err != nil {
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

func (d *Document) check(text *mfyaml.Validator) {
	if !serviceName.MatchString(string(d.Service)) {
		text.Reject("service", "must be a name of lower-case letters, digits and dashes, up to 63")
	}
	if d.Team == "" {
		text.Reject("team", "must name the team that owns the document")
	}
	if d.Class != ClassUrgent && d.Class != ClassBatch {
		text.Reject("class", "must be urgent or batch")
	}
	if d.Runners < 0 || d.Runners > maxRunners {
		text.Reject("runners", "must be from 0 to %d", maxRunners)
	}
	if d.Program == "" {
		text.Reject("program", "must name what a worker starts")
	}
	checkNames(text, "place.data_centres", d.Place.DataCentres)
	checkNames(text, "place.pools", d.Place.Pools)
	if d.Resources.Accelerators < 0 {
		text.Reject("resources.accelerators", "must not be negative")
	}
	if d.Runner.Slots < 1 {
		text.Reject("runner.slots", "must be above 0")
	}
	if d.Runner.Connections < mothferry.Connections(d.Runner.Slots) {
		text.Reject("runner.connections", "must be at least runner.slots (%d)", d.Runner.Slots)
	}
	d.checkUnavailability(text)
	d.checkRequests(text)
	if d.Customers.InFlight < 1 {
		text.Reject("customers.in_flight", "must be above 0")
	}
	for name, limit := range d.Customers.Named {
		if limit < 1 {
			text.Reject("customers.named."+string(name), "must be above 0")
		}
	}
}

func (d *Document) checkUnavailability(text *mfyaml.Validator) {
	u := d.Unavailability
	if u.Runners < 0 || u.Runners > d.Runners {
		text.Reject("unavailability.runners", "must be from 0 to runners (%d)", d.Runners)
	}
	if u.Window <= 0 || u.Window > maxWindow {
		text.Reject("unavailability.window", "must be above 0 and at most %s", maxWindow)
	}
	if u.Time < 0 || u.Time > u.Window {
		text.Reject("unavailability.time", "must be from 0 to the window")
	}
}

func (d *Document) checkRequests(text *mfyaml.Validator) {
	if d.Requests.Deadline <= 0 || d.Requests.Deadline > maxDeadline {
		text.Reject("requests.deadline", "must be above 0 and at most %s", maxDeadline)
	}
	for i, r := range d.Requests.Repeatable {
		field := "requests.repeatable." + strconv.Itoa(i)
		if len(r.Methods) == 0 {
			text.Reject(field+".methods", "must list at least one method")
		}
		for _, m := range r.Methods {
			if m == "" || m != strings.ToUpper(m) {
				text.Reject(field+".methods", "must be methods in capitals such as GET, not %q", m)
			}
		}
		if !strings.HasPrefix(r.Path, "/") {
			text.Reject(field+".path", "must begin with /")
		}
	}
}

func checkNames[T ~string](text *mfyaml.Validator, field string, names []T) {
	if len(names) == 0 {
		text.Reject(field, "must list at least one")
	}
	for i, n := range names {
		if n == "" || strings.Contains(string(n), "/") || slices.Contains(names[:i], n) {
			text.Reject(fmt.Sprintf("%s.%d", field, i), "must be a name without a slash, listed once")
		}
	}
}

// MayRepeat reports whether a request of this method and path may run more
// than once. The path is cleaned first, so that "/a/../pay" is judged as
// "/pay" and cannot pass under a prefix that it does not belong to.
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

// Share returns how many of the document's runners belong to a shard. The
// places share them evenly in the order of the document, so that every shard
// holder works out its own part without talking to the others.
func (d *Document) Share(s mothferry.Shard) int {
	centre := slices.Index(d.Place.DataCentres, s.DataCentre)
	pool := slices.Index(d.Place.Pools, s.Pool)
	if centre < 0 || pool < 0 {
		return 0
	}
	// Data centres come first, so that the remainder is spread over them
	// before a second pool of the same data centre gets a part.
	rank := pool*len(d.Place.DataCentres) + centre
	places := len(d.Place.DataCentres) * len(d.Place.Pools)
	share := d.Runners / places
	if rank < d.Runners%places {
		share++
	}
	return share
}

// Record is a document as accepted: the row of the platform's table.
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
