package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

const (
	// Ports are chosen from firstPort up to but not including lastPort. They are
	// below the range that the kernel uses for outgoing connections (by default
	// 32768 and up).
	firstPort = 12000
	lastPort  = 32000
	// maxAttempts limits the number of ports tried for one address.
	maxAttempts = 1000
)

var (
	// programHost is the host on which programs listen.
	programHost = netip.MustParseAddr("127.0.0.1")
	// guardHost is the host on which a reservation binds a socket to the reserved
	// port. Since it differs from programHost, the program can still listen on the port.
	guardHost = netip.MustParseAddr("127.0.0.77")
)

// errNoPort means that every port that was tried is in use or reserved.
var errNoPort = errors.New("no free port")

// Reservation prevents its addresses from being reserved again, also by other processes that use this package.
type Reservation struct {
	// Addrs are the reserved addresses. The reservation does not listen on them.
	Addrs []netip.AddrPort
	// guards holds one listener on guardHost for each address.
	guards []net.Listener
}

// Reserve reserves n addresses. Until the reservation is closed, a program can
// listen on each of them, also again after a restart.
func Reserve(n int) (*Reservation, error) {
	r := &Reservation{}
	for len(r.Addrs) < n {
		if err := r.reserveOne(); err != nil {
			return nil, errors.Join(err, r.Close())
		}
	}
	return r, nil
}

// Close releases the addresses.
func (r *Reservation) Close() error {
	var errs []error
	for _, g := range r.guards {
		errs = append(errs, g.Close())
	}
	r.guards = nil
	return errors.Join(errs...)
}

// reserveOne adds the address of a randomly chosen free port.
func (r *Reservation) reserveOne() error {
	var lastErr error
	for range maxAttempts {
		port := uint16(firstPort + rand.IntN(lastPort-firstPort))
		guard, err := net.Listen("tcp", netip.AddrPortFrom(guardHost, port).String())
		if err != nil {
			lastErr = err
			continue
		}
		addr := netip.AddrPortFrom(programHost, port)
		if err := checkFree(addr); err != nil {
			lastErr = errors.Join(err, guard.Close())
			continue
		}
		r.guards = append(r.guards, guard)
		r.Addrs = append(r.Addrs, addr)
		return nil
	}
	return fmt.Errorf("%w from %d to %d: %w", errNoPort, firstPort, lastPort, lastErr)
}

// checkFree returns an error if a program can't listen on the address.
func checkFree(addr netip.AddrPort) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	return l.Close()
}
