package loopback

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestReservedAddressesAreUnique guards against two programs that get the same
// port, which happens if a chosen port is not kept reserved.
func TestReservedAddressesAreUnique(t *testing.T) {
	is := is.New(t)
	const perReservation, reservations = 100, 40
	seen := map[netip.AddrPort]bool{}
	for range reservations {
		r, err := Reserve(perReservation)
		is.NoErr(err)
		t.Cleanup(func() { is.NoErr(r.Close()) })
		is.Equal(len(r.Addrs), perReservation)
		for _, a := range r.Addrs {
			is.True(!seen[a]) // the address was reserved twice
			seen[a] = true
			is.True(a.Port() < 32768) // an outgoing connection may take the port
		}
	}
}

// TestProgramListensOnReservedAddress guards against a reservation that blocks
// the port for the program.
func TestProgramListensOnReservedAddress(t *testing.T) {
	is := is.New(t)
	r, err := Reserve(1)
	is.NoErr(err)
	defer func() { is.NoErr(r.Close()) }()
	for range 2 {
		l, err := net.Listen("tcp", r.Addrs[0].String())
		is.NoErr(err)
		is.NoErr(l.Close())
	}
}
