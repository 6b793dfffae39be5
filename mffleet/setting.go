package mffleet

import (
	"fmt"
	"net"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// Settings holds the settings of one daemon.
type Settings struct {
	// Daemon is this daemon's id, unique in the deployment.
	Daemon     mothferry.DaemonID
	DataCentre mothferry.DataCentre
	// Callers, Ready and Metrics are the addresses to listen at.
	Callers string
	Ready   string
	Metrics string
	// Relay is the address at which this host relays orders of the shard's owner; empty if
	// it does not.
	Relay string
	// Forward is the address at which this host serves requests forwarded by hosts that
	// the store does not serve; empty if it does not.
	Forward string
	// Cores is the processor capacity that this host may use.
	Cores mothferry.Millicores
	// Memory is this host's memory; zero if it is not known.
	Memory mothferry.Bytes
	// Descriptors is how many descriptors the process may have open; zero if that is not known.
	Descriptors int
	// CallersMemory and CallersConnections bound what all callers hold together; zero for a part of
	// Memory and of Descriptors.
	CallersMemory      mothferry.Bytes
	CallersConnections int
	// CallersSentAhead is how many requests are served at a time that were sent before the answer to the
	// one before them; zero for the default.
	CallersSentAhead int
	// ChecksConnections bounds the connections of the balancer's checks, and those of readers of metrics;
	// zero for the default.
	ChecksConnections int
	// Link is the capacity of this host's link; zero if it is not known.
	Link mothferry.Bandwidth
	// Grace bounds the duration of a planned stop.
	Grace time.Duration
	// MachineHandoverDelay is how long after another host's last change of a machine this
	// one may change it.
	MachineHandoverDelay time.Duration
	Limits               mfsched.Limits
	// Off holds the disabled features.
	Off mothferry.FeaturesOff
}

// ErrSetting reports an invalid setting.
type ErrSetting struct {
	Name string
	Want string
}

// Error implements error.
func (e *ErrSetting) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Want) }

// Check returns an ErrSetting for the first invalid setting.
func (s Settings) Check() error {
	if s.Daemon == "" {
		return &ErrSetting{"daemon", "must name this daemon"}
	}
	for _, a := range []struct{ name, address string }{{"callers", s.Callers}, {"ready", s.Ready}, {"metrics", s.Metrics}} {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return &ErrSetting{a.name, "must be an IP address and a port"}
		}
	}
	if s.Cores <= 0 {
		return &ErrSetting{"cores", "must be above 0"}
	}
	for _, n := range []struct {
		name  string
		value int64
	}{
		{"callers_memory", int64(s.CallersMemory)},
		{"callers_connections", int64(s.CallersConnections)},
		{"callers_sent_ahead", int64(s.CallersSentAhead)},
		{"checks_connections", int64(s.ChecksConnections)},
	} {
		if n.value < 0 {
			return &ErrSetting{n.name, "must not be below 0"}
		}
	}
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"grace", s.Grace}, {"hold", s.Limits.LeaseDuration}, {"longest_hold", s.Limits.MaxLease}, {"extend_for", s.Limits.RenewLeasesFor}, {"keep_final", s.Limits.FinishedJobRetention}} {
		if d.value <= 0 {
			return &ErrSetting{d.name, "must be above 0"}
		}
	}
	return nil
}
