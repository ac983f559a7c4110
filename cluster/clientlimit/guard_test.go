package clientlimit

import (
	"bytes"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against refusals that fill the log, hide other kinds of refusals, or are not counted.
func TestRefusalsAreCountedAndLoggedOnce(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	scope := tally.NewTestScope("", nil)
	clients := NewGuard(GuardConfig{Limits: Derive(144*cluster.MiB, 3075), Log: zerolog.New(&log), Metrics: scope})
	for range 100 {
		clients.Refused(FrontListener, "first")
	}
	clients.Refused(FrontListener, "second")
	clients.Refused(ReadyListener, "first")
	is.Equal(strings.Count(log.String(), "client refused by a limit"), 3)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["listener"]+" "+c.Tags()["reason"]] = c.Value()
	}
	is.Equal(counts, map[string]int64{"front first": 100, "front second": 1, "ready first": 1})
}

// Guards against limits of connections that stay as they were when the settings file changes.
func TestChangedLimitsApply(t *testing.T) {
	is := is.New(t)
	clients := NewGuard(GuardConfig{Log: zerolog.Nop(), Metrics: tally.NoopScope})
	for name, want := range map[ListenerName]int{FrontListener: 3, ReadyListener: 2, MetricsListener: 2} {
		netListener, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		is.NoErr(err)
		defer func() { _ = netListener.Close() }()
		clients.SetLimits(Limits{FrontConns: 1, ProbeConns: 1, PartialConns: 1})
		listener := clients.Wrap(name, netListener)
		clients.SetLimits(Limits{FrontConns: 3, ProbeConns: 2, PartialConns: 1})
		for range 2 * want {
			conn, err := net.Dial("tcp", netListener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = listener.Accept()
			is.NoErr(err)
		}
		is.Equal(listener.Open(), want)
	}
	clients.Report()
}
