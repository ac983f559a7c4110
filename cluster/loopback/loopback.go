package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	// firstPort and lastPort bound the ports, below the range that the kernel gives
	// to outgoing connections (32768 and up by default).
	firstPort = 12000
	lastPort  = 32000
	// tries bounds the ports that are tried for one address.
	tries = 1000
)

var (
	// programHost is where programs listen.
	programHost = netip.MustParseAddr("127.0.0.1")
	// guardHost is where the socket of a reservation is bound, so that the port stays free for the program.
	guardHost = netip.MustParseAddr("127.0.0.77")
)

// errNoPort says that every port that was tried is taken.
var errNoPort = errors.New("no free port")

// Reservation keeps addresses from being handed out again, also by other processes that use this package.
type Reservation struct {
	// Addrs are the reserved addresses. Nothing listens on them.
	Addrs  []netip.AddrPort
	guards []net.Listener
}

// Reserve returns n addresses on which a program can listen, now and after a restart, until the reservation is closed.
func Reserve(n int) (*Reservation, error) {
	r := &Reservation{}
	for len(r.Addrs) < n {
		if err := r.add(); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	return r, nil
}

// Close gives the addresses back.
func (r *Reservation) Close() error {
	var errs []error
	for _, g := range r.guards {
		errs = append(errs, g.Close())
	}
	r.guards = nil
	return errors.Join(errs...)
}

func (r *Reservation) add() error {
	var last error
	for range tries {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		guard, err := net.Listen("tcp", netip.AddrPortFrom(guardHost, port).String())
		if err != nil {
			last = err
			continue
		}
		addr := netip.AddrPortFrom(programHost, port)
		if err := probe(addr); err != nil {
			last = errors.Join(err, guard.Close())
			continue
		}
		r.guards = append(r.guards, guard)
		r.Addrs = append(r.Addrs, addr)
		return nil
	}
	return fmt.Errorf("%w from %d to %d: %w", errNoPort, firstPort, lastPort, last)
}

// probe returns an error if a program can't listen on the address.
func probe(addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	return l.Close()
}
