package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/daemon"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// demoCell is a stand-in for the platform of one cell and the daemons of the cell,
// all on loopback.
type demoCell struct {
	platform *standin.Platform
	runners  *standin.Runners
	server   *http.Server
	daemons  []*demoDaemon
	wg       conc.WaitGroup

	mu sync.Mutex
	// violations are the messages of violated invariants.
	violations []string
}

// demoDaemon is a daemon that runs in this process.
type demoDaemon struct {
	*daemon.Daemon
	url  string
	stop context.CancelFunc
	// done receives the result of Run.
	done chan error
}

// demoRequestDuration is how long a runner takes to execute a request.
const demoRequestDuration = 5 * time.Millisecond

// listenLoopback listens on a free loopback port.
func listenLoopback() (net.Listener, netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	return l, addr, err
}

// startCell starts the stand-in, its runners and the daemons of a cell.
func startCell(layout standin.Cell, daemons int, log zerolog.Logger) (*demoCell, error) {
	c := &demoCell{platform: standin.New(standin.Config{Cell: layout, Seed: 1})}
	runners, err := standin.StartRunners(c.platform, netip.MustParseAddr("127.0.0.1"), 0, demoRequestDuration)
	if err != nil {
		return nil, err
	}
	c.runners = runners
	listener, addr, err := listenLoopback()
	if err != nil {
		c.close()
		return nil, err
	}
	c.server = &http.Server{Handler: standin.NewHandler(c.platform), ReadHeaderTimeout: 10 * time.Second}
	c.wg.Go(func() { _ = c.server.Serve(listener) })
	places := layout.Places()
	for i := range daemons {
		d, err := c.startDaemon(i, daemon.Settings{
			Place: places[i%len(places)], StoreRegion: layout.StoreRegion, Name: fmt.Sprintf("entry-%d", i+1),
			PlatformURL:  &url.URL{Scheme: "http", Host: addr.String()},
			DrainTimeout: 10 * time.Second, MemoryLimit: daemon.DefaultMemoryLimit, Seed: uint64(i + 1),
		}, log)
		if err != nil {
			c.close()
			return nil, err
		}
		c.daemons = append(c.daemons, d)
	}
	return c, nil
}

// startDaemon adds an entry VM to the platform's list and runs a daemon for it.
func (c *demoCell) startDaemon(i int, settings daemon.Settings, log zerolog.Logger) (*demoDaemon, error) {
	httpListener, httpAddr, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	peerListener, peerAddr, err := listenLoopback()
	if err != nil {
		_ = httpListener.Close()
		return nil, err
	}
	settings.HTTPAddr, settings.PeerAddr = httpAddr, peerAddr
	c.platform.AddEntry(fmt.Sprintf("entry-%d", i+1), settings.Place, peerAddr)
	d, err := daemon.New(daemon.Config{
		Settings: settings, Log: log.With().Str("vm", settings.Name).Logger(),
		HTTPListener: httpListener, PeerListener: peerListener, OnViolation: c.recordViolation,
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	running := &demoDaemon{Daemon: d, url: "http://" + httpAddr.String(), stop: stop, done: make(chan error, 1)}
	c.wg.Go(func() { running.done <- d.Run(ctx) })
	return running, nil
}

// recordViolation records a violated invariant of a daemon.
func (c *demoCell) recordViolation(message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, message)
}

// waitReady waits until every daemon is ready and every rack has an owner.
func (c *demoCell) waitReady(ctx context.Context) error {
	for _, d := range c.daemons {
		err := poll(ctx, func() (bool, error) {
			status, _, err := call(ctx, http.MethodGet, d.url+"/readyz", "", nil, nil)
			return err == nil && status == http.StatusOK, nil
		})
		if err != nil {
			return fmt.Errorf("daemon %s is not ready: %w", d.ID(), err)
		}
	}
	return c.waitRacks(ctx)
}

// waitRacks waits until every rack has an owner.
func (c *demoCell) waitRacks(ctx context.Context) error {
	layout := c.platform.Cell()
	racks := (layout.Workers + layout.WorkersPerRack - 1) / layout.WorkersPerRack
	return poll(ctx, func() (bool, error) {
		owned := 0
		for _, d := range c.daemons {
			var status api.Status
			if err := getJSON(ctx, d.url+"/v1/status", &status); err != nil {
				return false, err
			}
			owned += len(status.Racks)
		}
		return owned == racks, nil
	})
}

// stopDaemons stops the daemons one after the other and returns all errors.
func (c *demoCell) stopDaemons() error {
	var errs []error
	for _, d := range c.daemons {
		d.stop()
		errs = append(errs, <-d.done)
	}
	return errors.Join(errs...)
}

// close stops the stand-in and waits for it and the daemons; stopDaemons must have
// been called if daemons were started.
func (c *demoCell) close() {
	if c.server != nil {
		_ = c.server.Close()
	}
	if c.runners != nil {
		c.runners.Close()
	}
	c.wg.Wait()
}

// pollInterval is the time between two calls of poll's function.
const pollInterval = 100 * time.Millisecond

// poll calls f until it returns true or an error, or ctx ends.
func poll(ctx context.Context, f func() (bool, error)) error {
	for {
		done, err := f()
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}
