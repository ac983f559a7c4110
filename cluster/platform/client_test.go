package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newClient returns a client of a test server with the given handler.
func newClient(t *testing.T, handler http.Handler, cfg platform.ClientConfig) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	cfg.BaseURL, cfg.Timeout = server.URL, time.Minute
	client, err := platform.NewClient(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// Guards against a mutating call that reports "not applied" after a reply that
// can't be used, and against a read that reports an unknown result.
func TestUnusableReplies(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"connection closed before the reply", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"truncated reply", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte(`{"version":`))
			panic(http.ErrAbortHandler)
		}},
		{"malformed reply", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"version"`)) }},
		{"empty reply", func(http.ResponseWriter, *http.Request) {}},
		{"reply too large", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat(" ", 2000) + `{"version":1}`))
		}},
		{"error reply of a proxy", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadGateway) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(t, c.handler, platform.ClientConfig{MaxReply: 1000})
			_, err := client.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "a"}}})
			is.True(platform.IsKind(err, platform.KindUnknown))
			_, err = client.Read(t.Context(), platform.ReadRequest{Keys: []string{"a"}})
			is.True(platform.IsKind(err, platform.KindUnavailable))
			_, err = client.Exchange(t.Context(), platform.ExchangeRequest{Rack: "r", Epoch: 1, Lease: time.Second})
			is.True(platform.IsKind(err, platform.KindUnknown))
		})
	}
}

// Guards against a refused connection that is reported as an unknown result of a
// commit although nothing was sent.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: "http://" + l.Addr().String()})
	is.NoErr(err)
	is.NoErr(l.Close())
	_, err = client.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "a"}}})
	is.True(platform.IsKind(err, platform.KindUnavailable))
}

// Guards against invalid base URLs that are detected only by the first call.
func TestBaseURL(t *testing.T) {
	is := is.New(t)
	for _, base := range []string{"", "10.0.0.1:7070", "https://10.0.0.1", "http://", "http://10.0.0.1/path", "http://\x00"} {
		_, err := platform.NewClient(platform.ClientConfig{BaseURL: base})
		is.True(platform.IsKind(err, platform.KindInvalid))
	}
}

// Guards against exchanges that exceed the control traffic budget (600 bytes in
// both directions together when nothing changed) and against bytes that are
// counted for the wrong region.
func TestBytesOnWire(t *testing.T) {
	is := is.New(t)
	standIn := standin.New(standin.Config{Cell: standin.Small()})
	counter := paidlink.New(paidlink.Config{Self: "north"})
	client := newClient(t, standin.NewHandler(standIn), platform.ClientConfig{
		Self: cluster.Place{Region: "north", Zone: "n-1"}, StoreRegion: "south", Bytes: counter,
	})
	exchange := func(rack cluster.RackID, since uint64) (uint64, int64) {
		before := counter.Total(paidlink.CauseRack)
		reply, err := client.Exchange(t.Context(), platform.ExchangeRequest{
			Rack: rack, Owner: "entry-1-1700000000000", Epoch: 12, Since: since, Lease: 20 * time.Second,
		})
		is.NoErr(err)
		return reply.Cursor, counter.Total(paidlink.CauseRack) - before
	}
	cursor, fullBytes := exchange("n-1-r1", 0)
	_, idleBytes := exchange("n-1-r1", cursor)
	t.Logf("exchange: %d bytes with all workers, %d bytes idle", fullBytes, idleBytes)
	is.True(idleBytes > 0 && idleBytes < 600)
	is.Equal(counter.Crossed(paidlink.CauseRack), int64(0))
	exchange("s-1-r1", 0)
	is.True(counter.Crossed(paidlink.CauseRack) > 0)
	_, err := client.Read(t.Context(), platform.ReadRequest{Keys: []string{"a"}})
	is.NoErr(err)
	is.Equal(counter.Crossed(paidlink.CauseStore), counter.Total(paidlink.CauseStore))
	_, err = client.ListVMs(t.Context())
	is.NoErr(err)
	listBytes := counter.Total(paidlink.CauseStore)
	_, err = client.ListVMs(t.Context())
	is.NoErr(err)
	listBytes = counter.Total(paidlink.CauseStore) - listBytes
	t.Logf("unchanged list of VMs: %d bytes", listBytes)
	is.True(listBytes < 600)
}

// Guards against a delta that is applied to the cached list of an earlier run of
// the platform.
func TestListVMsAfterPlatformRestart(t *testing.T) {
	is := is.New(t)
	clock := standin.NewManualClock(time.Unix(1_700_000_000, 0))
	handler := standin.NewHandler(standin.New(standin.Config{Cell: standin.Erzaehlwerk(), Clock: clock.Now}))
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }), platform.ClientConfig{})
	before, err := client.ListVMs(t.Context())
	is.NoErr(err)
	is.Equal(len(before), 100)
	clock.Advance(time.Second)
	handler = standin.NewHandler(standin.New(standin.Config{Cell: standin.Small(), Clock: clock.Now}))
	after, err := client.ListVMs(t.Context())
	is.NoErr(err)
	is.Equal(len(after), 20)
}

// Guards against attempt IDs that differ after formatting and parsing, and
// against invalid texts that are accepted.
func TestParseAttemptID(t *testing.T) {
	is := is.New(t)
	for _, name := range []cluster.JobName{"j", "a/b", "a#1", "a@2", "a#1@2"} {
		id := cluster.AttemptID{Task: cluster.TaskID{Job: cluster.JobID{Team: "t", Name: name}, Index: 3}, Attempt: 4}
		got, err := platform.ParseAttemptID(id.String())
		is.NoErr(err)
		is.Equal(got, id)
	}
	for _, s := range []string{"", "t/j", "t/j#1", "t/j@1", "t/#1@1", "/j#1@1", "t/j#-1@1", "t/j#1@x", "t/j#1@99999999999", "t#1@2"} {
		if got, err := platform.ParseAttemptID(s); err == nil {
			t.Error(fmt.Errorf("%q gave %v", s, got))
		}
	}
}
