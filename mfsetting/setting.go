// Package mfsetting reads and checks a daemon's settings file.
package mfsetting

import (
	"net"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"mothferry"
	"mothferry/mflog"
	"mothferry/mfyaml"
)

// Settings is one daemon's settings file.
type Settings struct {
	// Daemon is this daemon's id, unique in the deployment.
	Daemon mothferry.DaemonID `yaml:"daemon"`
	// DataCentre is where this daemon runs.
	DataCentre mothferry.DataCentre `yaml:"data_centre"`
	Listen     Listen               `yaml:"listen"`
	Peers      []Peer               `yaml:"peers"`
	Platform   PlatformAddress      `yaml:"platform"`
	Timing     Timing               `yaml:"timing"`
	Limits     Limits               `yaml:"limits"`
	Weights    Weights              `yaml:"weights"`
	Roles      Roles                `yaml:"roles"`
	Log        Log                  `yaml:"log"`
}

// Listen holds the IP addresses and ports this daemon listens at.
type Listen struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Peer is another daemon of the deployment.
type Peer struct {
	Daemon     mothferry.DaemonID   `yaml:"daemon"`
	DataCentre mothferry.DataCentre `yaml:"data_centre"`
	Address    string               `yaml:"address"`
}

// PlatformAddress says where the platform's services are.
type PlatformAddress struct {
	// URL is the base address, with an IP number as its host.
	URL string `yaml:"url"`
	// Timeout bounds one call.
	Timeout time.Duration `yaml:"timeout"`
}

// Timing holds intervals and bounds of time.
type Timing struct {
	// Heartbeat is the interval of messages to peers.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// Poll is the interval at which the first daemons of a data centre read the revision.
	Poll time.Duration `yaml:"poll"`
	// Control is the interval of a shard holder's work.
	Control time.Duration `yaml:"control"`
	// Lease is how long a control lease lasts unless renewed.
	Lease time.Duration `yaml:"lease"`
	// Notice is the bound after which a leaving upstream gets no new work.
	Notice time.Duration `yaml:"notice"`
	// Unready is how long a stopping daemon goes on accepting while the
	// balancer learns that it is unready.
	Unready time.Duration `yaml:"unready"`
	// Connect bounds the opening of a connection to a runner or peer.
	Connect time.Duration `yaml:"connect"`
}

// Limits holds bounds of sizes and counts.
type Limits struct {
	HeaderBytes mothferry.Bytes `yaml:"header_bytes"`
	// BodyBytes bounds a caller's body.
	BodyBytes mothferry.Bytes `yaml:"body_bytes"`
	// BufferBytes bounds the part of a body or answer held in memory; a body
	// above it is streamed and sent at most once.
	BufferBytes mothferry.Bytes `yaml:"buffer_bytes"`
	// RecordBytes bounds an answer recorded in the ledger.
	RecordBytes mothferry.Bytes `yaml:"record_bytes"`
	// Queue bounds the requests that wait for a runner, for each service.
	Queue int `yaml:"queue"`
	// RetryRatio is the number of second tries allowed for each first try.
	RetryRatio float64 `yaml:"retry_ratio"`
	// EjectShare is the largest share of a service's runners ejected at once.
	EjectShare float64 `yaml:"eject_share"`
	// LedgerKeep is how long the end of a keyed request is remembered.
	LedgerKeep time.Duration `yaml:"ledger_keep"`
}

// Weights sets what placement saves first.
type Weights struct {
	// Buffer weighs spare cores held in reserve.
	Buffer float64 `yaml:"buffer"`
	// Moves weighs moves of hosts and jobs.
	Moves float64 `yaml:"moves"`
}

// Roles switches parts off, to measure the others alone.
type Roles struct {
	Entry   bool `yaml:"entry"`
	Control bool `yaml:"control"`
}

// Log says what is logged and how.
type Log struct {
	Level  string            `yaml:"level"`
	Format mflog.Format      `yaml:"format"`
	Parts  map[string]string `yaml:"parts"`
}

// Default returns the settings that hold where a file is silent.
func Default() Settings {
	return Settings{
		Platform: PlatformAddress{Timeout: time.Second},
		Timing: Timing{
			Heartbeat: 250 * time.Millisecond,
			Poll:      time.Second,
			Control:   250 * time.Millisecond,
			Lease:     2 * time.Second,
			Notice:    3 * time.Second,
			Unready:   time.Second,
			Connect:   500 * time.Millisecond,
		},
		Limits: Limits{
			HeaderBytes: 32 * mothferry.Kibibyte,
			BodyBytes:   16 * mothferry.Mebibyte,
			BufferBytes: 64 * mothferry.Kibibyte,
			RecordBytes: 32 * mothferry.Kibibyte,
			Queue:       64,
			RetryRatio:  0.2,
			EjectShare:  0.5,
			LedgerKeep:  24 * time.Hour,
		},
		Weights: Weights{Buffer: 1, Moves: 1},
		Roles:   Roles{Entry: true, Control: true},
		Log:     Log{Level: "info", Format: mflog.FormatText},
	}
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse checks settings text; file is named in its problems.
func Parse(file string, data []byte) (Settings, error) {
	settings := Default()
	text := mfyaml.Decode(file, data, &settings)
	if err := text.Err(); err != nil {
		return Settings{}, trace.Wrap(err)
	}
	settings.check(text)
	if err := text.Err(); err != nil {
		return Settings{}, trace.Wrap(err)
	}
	return settings, nil
}

func (s *Settings) check(text *mfyaml.Validator) {
	if s.Daemon == "" {
		text.Reject("daemon", "must name this daemon")
	}
	if s.DataCentre == "" {
		text.Reject("data_centre", "must name this daemon's data centre")
	}
	checkAddress(text, "listen.callers", s.Listen.Callers)
	checkAddress(text, "listen.peers", s.Listen.Peers)
	checkAddress(text, "listen.operators", s.Listen.Operators)
	s.checkPeers(text)
	s.checkPlatform(text)
	s.checkTiming(text)
	s.checkLimits(text)
	if s.Weights.Buffer < 0 || s.Weights.Moves < 0 || s.Weights.Buffer+s.Weights.Moves == 0 {
		text.Reject("weights", "must not be negative, and one must be above 0")
	}
	s.checkLog(text)
}

func (s *Settings) checkPeers(text *mfyaml.Validator) {
	seen := map[mothferry.DaemonID]bool{s.Daemon: true}
	for i, p := range s.Peers {
		field := "peers." + strconv.Itoa(i)
		if p.Daemon == "" || seen[p.Daemon] {
			text.Reject(field+".daemon", "must be a daemon id that no other entry has, nor this daemon")
		}
		seen[p.Daemon] = true
		if p.DataCentre == "" {
			text.Reject(field+".data_centre", "must name the peer's data centre")
		}
		checkAddress(text, field+".address", p.Address)
	}
}

func (s *Settings) checkPlatform(text *mfyaml.Validator) {
	address, err := url.Parse(s.Platform.URL)
	if err != nil || address.Scheme != "http" && address.Scheme != "https" || address.Host == "" {
		text.Reject("platform.url", "must be a URL such as http://127.0.0.1:9000")
		return
	}
	if _, err := netip.ParseAddr(address.Hostname()); err != nil {
		text.Reject("platform.url", "must have an IP number as its host, not %q", address.Hostname())
	}
	checkPositive(text, "platform.timeout", s.Platform.Timeout)
}

func (s *Settings) checkTiming(text *mfyaml.Validator) {
	checkPositive(text, "timing.heartbeat", s.Timing.Heartbeat)
	checkPositive(text, "timing.poll", s.Timing.Poll)
	checkPositive(text, "timing.control", s.Timing.Control)
	checkPositive(text, "timing.lease", s.Timing.Lease)
	checkPositive(text, "timing.notice", s.Timing.Notice)
	checkPositive(text, "timing.connect", s.Timing.Connect)
	if s.Timing.Unready < 0 {
		text.Reject("timing.unready", "must not be negative")
	}
	if s.Timing.Lease < 3*s.Timing.Control {
		text.Reject("timing.lease", "must be at least three times timing.control (%s), so that one lost renewal loses no lease", s.Timing.Control)
	}
	if s.Timing.Notice < 2*s.Timing.Heartbeat {
		text.Reject("timing.notice", "must be at least twice timing.heartbeat (%s)", s.Timing.Heartbeat)
	}
}

func (s *Settings) checkLimits(text *mfyaml.Validator) {
	for _, l := range []struct {
		field string
		value mothferry.Bytes
	}{
		{"limits.header_bytes", s.Limits.HeaderBytes},
		{"limits.body_bytes", s.Limits.BodyBytes},
		{"limits.buffer_bytes", s.Limits.BufferBytes},
		{"limits.record_bytes", s.Limits.RecordBytes},
	} {
		if l.value <= 0 {
			text.Reject(l.field, "must be above 0")
		}
	}
	if s.Limits.Queue <= 0 {
		text.Reject("limits.queue", "must be above 0")
	}
	checkFraction(text, "limits.retry_ratio", s.Limits.RetryRatio)
	checkFraction(text, "limits.eject_share", s.Limits.EjectShare)
	checkPositive(text, "limits.ledger_keep", s.Limits.LedgerKeep)
}

func (s *Settings) checkLog(text *mfyaml.Validator) {
	const levels = "must be debug, info, warn or error"
	if _, err := log.ParseLevel(s.Log.Level); err != nil {
		text.Reject("log.level", levels)
	}
	if s.Log.Format != mflog.FormatText && s.Log.Format != mflog.FormatJSON {
		text.Reject("log.format", "must be text or json")
	}
	for part, level := range s.Log.Parts {
		if _, err := log.ParseLevel(level); err != nil {
			text.Reject("log.parts."+part, levels)
		}
	}
}

// ShareOfConnections returns this daemon's part of a runner's connections,
// which the entry hosts of its data centre share. At least one is returned.
func (s *Settings) ShareOfConnections(limit mothferry.Connections) int {
	return max(int(limit)/len(s.EntryHosts()), 1)
}

// EntryHosts returns the daemons of this data centre, this one included.
func (s *Settings) EntryHosts() []mothferry.DaemonID {
	members := []mothferry.DaemonID{s.Daemon}
	for _, p := range s.Peers {
		if p.DataCentre == s.DataCentre {
			members = append(members, p.Daemon)
		}
	}
	return members
}

func checkAddress(text *mfyaml.Validator, field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		text.Reject(field, "must be an IP number and port such as 127.0.0.1:8080, not %q", value)
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		text.Reject(field, "must have an IP number and a port, not %q and its port", host)
	}
}

func checkPositive(text *mfyaml.Validator, field string, d time.Duration) {
	if d <= 0 {
		text.Reject(field, "must be above 0")
	}
}

func checkFraction(text *mfyaml.Validator, field string, f float64) {
	if f < 0 || f > 1 {
		text.Reject(field, "must be from 0 to 1")
	}
}
