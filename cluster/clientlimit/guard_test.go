package clientlimit

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

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

// Guards against a request whose body no handler reads and that holds its connection until the body arrives, and against
// the end of a connection whose request was read.
func TestUnreadBodyIsSkipped(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, ListenerConfig{MaxConns: 10, MaxPartial: 10}, SkipUnread(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		w.WriteHeader(http.StatusAccepted)
	})))
	unread := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx")
	is.Equal(responseStatus(t, unread), http.StatusAccepted)
	is.True(isClosed(t, unread))
	read := s.dial(t, "POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	is.Equal(responseStatus(t, read), http.StatusAccepted)
	_, err := io.WriteString(read, getRequest)
	is.NoErr(err)
	is.Equal(responseStatus(t, read), http.StatusAccepted)
}

// Guards against responses that are kept in memory without a bound for clients that don't read them, and against ordinary
// clients that get none because of them.
func TestUnreadResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	const size, limit = 1 << 20, 4 << 20
	guard := NewGuard(GuardConfig{Limits: Limits{BodyBytes: limit, FrontConns: 100, PartialConns: 10}, Log: zerolog.Nop(), Metrics: tally.NoopScope})
	netListener, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	listener := guard.Wrap(FrontListener, netListener)
	handler := guard.Buffered(4, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
	server := &http.Server{Handler: handler, ConnState: listener.ConnState, ConnContext: ConnContext}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	url := "http://" + netListener.Addr().String()
	for range 20 {
		conn, err := net.Dial("tcp", netListener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, getRequest)
		is.NoErr(err)
	}
	status := 0
	for end := time.Now().Add(20 * time.Second); status != http.StatusOK && time.Now().Before(end); {
		resp, err := http.Get(url)
		is.NoErr(err)
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_, held := guard.Bodies.Usage()
		is.True(held <= limit)
	}
	is.Equal(status, http.StatusOK)
}
