package mffake

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

// subnetLockPort is the port that reserves a subnet; no deployment listens there.
const subnetLockPort = 7399

// ClaimSubnet returns the first three numbers of a loopback subnet, such as "127.3.7", that is
// reserved for this test until it ends. Concurrent test runs on one machine would otherwise
// use the same ports.
func ClaimSubnet(t testing.TB) string {
	t.Helper()
	const tries = 1000
	for range tries {
		subnet := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", subnet, subnetLockPort))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return subnet
		}
	}
	t.Fatal("no loopback subnet is free")
	return ""
}
