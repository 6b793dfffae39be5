package mffleet

import (
	"fmt"
	"net"
	"time"

	"mothferry"
	"mothferry/mfsched"
)

// Settings of a daemon of a fleet that runs jobs.
type Settings struct {
	// Daemon is this daemon's id, unique in the deployment.
	Daemon     mothferry.DaemonID
	DataCentre mothferry.DataCentre
	// Callers, Ready and Metrics are the addresses to listen at.
	Callers string
	Ready   string
	Metrics string
	// Relay is the address at which this host passes on the orders of the shard's
	// owner; empty for a host that does not.
	Relay string
	// Forward is the address at which this host carries out callers' requests for hosts
	// that the store turns away; empty for one that does not.
	Forward string
	// Cores is this host's share of processors.
	Cores mothferry.Millicores
	// Link is what this host's link carries; zero if that is not known.
	Link mothferry.Bandwidth
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// MachineHandoverDelay is how long after another host's last change of a machine
	// this one may change it.
	MachineHandoverDelay time.Duration
	Limits               mfsched.Limits
	// Off holds the features that are switched off.
	Off mothferry.FeaturesOff
}

// ErrSetting reports a setting that can't be used.
type ErrSetting struct {
	Name string
	Want string
}

// Error implements error.
func (e *ErrSetting) Error() string { return fmt.Sprintf("setting %s: %s", e.Name, e.Want) }

// Check returns an ErrSetting for the first setting that can't be used.
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
	for _, d := range []struct {
		name  string
		value time.Duration
	}{{"grace", s.Grace}, {"hold", s.Limits.LeaseDuration}, {"longest_hold", s.Limits.MaxLease}, {"extend_for", s.Limits.RenewLeasesFor}, {"keep_final", s.Limits.FinishedJobRetention}} {
		if d.value <= 0 {
			return &ErrSetting{d.name, "must be longer than nothing"}
		}
	}
	return nil
}
