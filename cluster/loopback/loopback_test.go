package loopback

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestReservedAddressesAreNotHandedOutTwice guards against two programs that
// are given one port, which happens when a port is free again as soon as it was picked.
func TestReservedAddressesAreNotHandedOutTwice(t *testing.T) {
	is := is.New(t)
	const each, reservations = 100, 40
	seen := map[netip.AddrPort]bool{}
	for range reservations {
		r, err := Reserve(each)
		is.NoErr(err)
		t.Cleanup(func() { is.NoErr(r.Close()) })
		is.Equal(len(r.Addrs), each)
		for _, a := range r.Addrs {
			is.True(!seen[a]) // the address was handed out twice
			seen[a] = true
			is.True(a.Port() < 32768) // an outgoing connection may take the port
		}
	}
}

// TestProgramListensOnReservedAddress guards against a reservation that takes the port itself.
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
