package mfrecord

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/gravitational/trace"

	"mothferry"
)

// TableHosts is the table with one row per entry host, keyed by the daemon's ID.
const TableHosts mothferry.TableID = "mothferry_hosts"

// hostFormat is the version of the stored form of Host.
const hostFormat = 1

// Host is what an entry host publishes about itself when it starts. The row stays when the
// host stops: only a call to the host shows whether it is running.
type Host struct {
	Daemon     mothferry.DaemonID
	DataCentre mothferry.DataCentre
	// Address is the IP address and port at which the host relays orders to workers.
	Address string
	// Forward is the IP address and port at which the host executes callers' requests for a
	// host that the store does not serve; empty if it does not.
	Forward string
	// Cores is the host's CPU share.
	Cores mothferry.Millicores
}

type storedHost struct {
	Format     int                  `json:"format"`
	DataCentre mothferry.DataCentre `json:"data_centre"`
	Address    string               `json:"address"`
	Forward    string               `json:"forward,omitempty"`
	Cores      mothferry.Millicores `json:"cores"`
}

// ErrNewerHost reports a host row in an unsupported, newer format.
type ErrNewerHost struct{ Format int }

// Error implements error.
func (e *ErrNewerHost) Error() string {
	return fmt.Sprintf("decode host row: format %d is newer than the supported format %d", e.Format, hostFormat)
}

// ErrInvalidHost reports a host row that no host has written.
type ErrInvalidHost struct{ Field string }

// Error implements error.
func (e *ErrInvalidHost) Error() string {
	return fmt.Sprintf("decode host row: %s is invalid", e.Field)
}

const (
	// maxHostBytes bounds a host's row, of which a host writes some hundred bytes.
	maxHostBytes = 4096
	// maxHostCores is beyond any host.
	maxHostCores mothferry.Millicores = 1 << 30
)

// Encode returns the stored form.
func (h Host) Encode() ([]byte, error) {
	data, err := json.Marshal(storedHost{Format: hostFormat, DataCentre: h.DataCentre, Address: h.Address, Forward: h.Forward, Cores: h.Cores})
	return data, trace.Wrap(err)
}

// DecodeHost decodes the row of a host. The key is the daemon's ID. It fails with ErrInvalidHost if no
// host can have written the row: one with cores beyond any host's would make all others weak ones,
// and a name for an address would have to be looked up.
func DecodeHost(key mothferry.Key, data []byte) (Host, error) {
	var s storedHost
	if len(data) > maxHostBytes || json.Unmarshal(data, &s) != nil {
		return Host{}, &ErrInvalidHost{"its form"}
	}
	switch {
	case s.Format > hostFormat:
		return Host{}, &ErrNewerHost{s.Format}
	case key == "" || strings.ContainsFunc(string(key), func(r rune) bool { return r == utf8.RuneError || !unicode.IsGraphic(r) }):
		return Host{}, &ErrInvalidHost{"its key"}
	case !isAddress(s.Address):
		return Host{}, &ErrInvalidHost{"address"}
	case !isAddress(s.Forward):
		return Host{}, &ErrInvalidHost{"forward"}
	case s.Cores < 0 || s.Cores > maxHostCores:
		return Host{}, &ErrInvalidHost{"cores"}
	}
	return Host{Daemon: mothferry.DaemonID(key), DataCentre: s.DataCentre, Address: s.Address, Forward: s.Forward, Cores: s.Cores}, nil
}

// isAddress reports whether a text is an IP address and port, or empty.
func isAddress(text string) bool {
	if text == "" {
		return true
	}
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}
