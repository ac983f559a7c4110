package main

import (
	"context"
	"net"
	"net/netip"
	"net/url"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster/daemon"
)

// BenchmarkCapacityProfile runs one of the daemons in the benchmark's process, so that
// -cpuprofile and -memprofile show which code uses CPU time and memory.
func BenchmarkCapacityProfile(b *testing.B) {
	c := newBenchCluster(b, benchClusterConfig{racks: targetRacks, daemons: baseDaemons - 1})
	settings := daemon.Settings{
		StoreRegion: "east", Name: "entry-profiled", PlatformURL: &url.URL{Scheme: "http", Host: c.platformAddr},
		DrainTimeout: 5 * time.Second, MemoryLimit: daemon.DefaultMemoryLimit, Seed: 1,
	}
	settings.Place.Region, settings.Place.Zone = "east", "e-1"
	httpListener, peerListener := benchListener(b, &settings.HTTPAddr), benchListener(b, &settings.PeerAddr)
	d, err := daemon.New(daemon.Config{Settings: settings, Log: zerolog.Nop(), HTTPListener: httpListener, PeerListener: peerListener})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	}()
	c.fillCluster(2600)
	time.Sleep(time.Duration(windowCount) * windowLength(b))
	b.ReportMetric(0, "ns/op")
}

// benchListener opens a listener on a free loopback port and stores its address in addr.
func benchListener(b *testing.B, addr *netip.AddrPort) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	*addr = l.Addr().(*net.TCPAddr).AddrPort()
	return l
}
