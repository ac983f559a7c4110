package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const benchAnswer = 2 << 10

// benchServer starts an HTTP server on a loopback address.
func benchServer(b *testing.B, h http.Handler) string {
	b.Helper()
	s := httptest.NewServer(h)
	b.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// benchRunners starts runners that answer at once, over the given places in turn.
func benchRunners(b *testing.B, n int, places ...cluster.Place) []platform.VM {
	b.Helper()
	body := strings.Repeat("x", benchAnswer)
	var vms []platform.VM
	for i := range n {
		addr := benchServer(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		vms = append(vms, platform.VM{
			ID: fmt.Sprintf("runner-%02d", i), Role: platform.RoleRunner, Service: "booking",
			Place: places[i%len(places)], Addr: netip.MustParseAddrPort(addr),
		})
	}
	return vms
}

// benchGateway starts a gateway that holds all slots of the runners.
func benchGateway(b *testing.B, vms []platform.VM) (*Gateway, *paidlink.Counter) {
	b.Helper()
	store := &memoryStore{rows: map[string]platform.Row{}}
	j := journal.New(journal.Config{Store: store, Writer: "bench"})
	paid := paidlink.New(paidlink.Config{Self: homePlace.Region})
	g := New(Config{
		Self: "bench", Place: homePlace, Store: store, Journal: j, PaidLink: paid, Random: rand.New(rand.NewPCG(1, 1)),
		Authorizer: &testAuthorizer{snapshot: cluster.Assemble(1, testEntities())},
	})
	b.Cleanup(func() { j.Close(); g.Close() })
	g.SetMembers([]Member{{ID: "bench"}})
	g.SetUpstreams(vms)
	for range 100 {
		if s := g.Status().Services; len(s) > 0 && s[0].Slots == len(vms)*defaultSlots {
			return g, paid
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.Fatal("no slots")
	return nil, nil
}

func benchClient(b *testing.B) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	b.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func benchCall(b *testing.B, client *http.Client, url string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer archive")
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer res.Body.Close()
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != benchAnswer || res.StatusCode != http.StatusOK {
		b.Errorf("status %d with %d bytes: %v", res.StatusCode, n, err)
	}
	return time.Since(start)
}

// paths of a request: to a runner directly and through the gateway.
type benchPath struct {
	name, url string
	client    *http.Client
	latency   *hdrhistogram.Histogram
	took      time.Duration
	calls     int
}

func benchPaths(b *testing.B) []*benchPath {
	vms := benchRunners(b, 8, homePlace)
	g, _ := benchGateway(b, vms)
	addr := benchServer(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.ServeService(w, r, "booking", strings.TrimPrefix(r.URL.Path, "/v1/services/booking"))
	}))
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(10*time.Second), 3) }
	return []*benchPath{
		{name: "direct", url: "http://" + vms[0].Addr.String() + "/x", client: benchClient(b), latency: histogram()},
		{name: "gateway", url: "http://" + addr + "/v1/services/booking/x", client: benchClient(b), latency: histogram()},
	}
}

// round sends n requests with the given concurrency.
func (p *benchPath) round(b *testing.B, n, concurrency int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for range concurrency {
		wg.Go(func() {
			for range n / concurrency {
				d := benchCall(b, p.client, p.url)
				mu.Lock()
				_ = p.latency.RecordValue(int64(d))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p.took += time.Since(start)
	p.calls += n / concurrency * concurrency
}

// BenchmarkAddedLatency compares requests through the gateway with direct ones,
// in rounds that alternate so that both meet the same noise.
func BenchmarkAddedLatency(b *testing.B) {
	for _, concurrency := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("concurrency=%d", concurrency), func(b *testing.B) {
			paths := benchPaths(b)
			for _, p := range paths {
				p.round(b, concurrency*10, concurrency)
				p.latency.Reset()
				p.took, p.calls = 0, 0
			}
			const rounds = 10
			b.ResetTimer()
			for range rounds {
				for _, p := range paths {
					p.round(b, max(b.N/rounds, concurrency), concurrency)
				}
			}
			direct, via := paths[0], paths[1]
			for _, q := range []float64{50, 99} {
				d, v := direct.latency.ValueAtQuantile(q), via.latency.ValueAtQuantile(q)
				b.ReportMetric(float64(v-d)/1e3, fmt.Sprintf("added-p%.0f-µs", q))
				b.ReportMetric(float64(v)/float64(d), fmt.Sprintf("p%.0f-ratio", q))
			}
			b.ReportMetric(float64(via.calls)/via.took.Seconds(), "gateway-req/s")
			b.ReportMetric(float64(direct.calls)/direct.took.Seconds(), "direct-req/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkPaidLink compares the bytes over the paid link with a choice that is blind to zones.
func BenchmarkPaidLink(b *testing.B) {
	places := []cluster.Place{
		homePlace, {Region: homePlace.Region, Zone: "ds-2"}, {Region: "romandie", Zone: "ro-1"},
	}
	for _, blind := range []bool{true, false} {
		b.Run(fmt.Sprintf("blind=%v", blind), func(b *testing.B) {
			g, paid := benchGateway(b, benchRunners(b, 12, places...))
			if blind {
				g.mu.Lock()
				for _, r := range g.services["booking"].runners {
					r.tier = tierZone
				}
				g.mu.Unlock()
			}
			for range b.N {
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, "/v1/services/booking/x", http.NoBody)
				r.Header.Set("Authorization", "Bearer archive")
				g.ServeService(w, r, "booking", "/x")
				if w.Code != http.StatusOK {
					b.Fatal(w.Body)
				}
			}
			b.ReportMetric(float64(paid.Crossed(paidlink.CauseRequest))/float64(b.N), "paid-bytes/req")
			b.ReportMetric(float64(paid.Total(paidlink.CauseRequest))/float64(b.N), "all-bytes/req")
		})
	}
}

// BenchmarkControl measures one tick of the background work with 50 runners, 7 daemons and 32 limited teams.
func BenchmarkControl(b *testing.B) {
	entities := testEntities()
	for i := range 32 {
		entities = append(entities, &cluster.Team{Name: cluster.TeamName(fmt.Sprintf("team-%02d", i)), Share: 1, MaxRequests: 100})
	}
	g := New(Config{
		Self: "daemon-0", Place: homePlace, Authorizer: &testAuthorizer{snapshot: cluster.Assemble(1, entities)},
		Store: &memoryStore{rows: map[string]platform.Row{}, down: true}, Tick: time.Hour,
	})
	defer g.Close()
	var members []Member
	for i := range 7 {
		members = append(members, Member{ID: cluster.DaemonID(fmt.Sprintf("daemon-%d", i))})
	}
	g.SetMembers(members)
	var vms []platform.VM
	for i := range 50 {
		vms = append(vms, platform.VM{ID: fmt.Sprintf("runner-%02d", i), Role: platform.RoleRunner, Service: "booking", Place: homePlace})
	}
	g.SetUpstreams(vms)
	g.tick()
	// Every daemon holds its fair part, so that nothing is to be moved.
	for _, l := range g.ledgers {
		row := ledgerRow{}
		for id, u := range l.units {
			row[id] = &holdings{capacity: u.capacity, held: map[cluster.DaemonID]int{}}
			for _, m := range g.fleet.all {
				row[id].set(m, fairPart(id, u.capacity, g.fleet.sharing, m))
			}
		}
		l.accept(g.cfg.Self, row, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.tick()
	}
	data, err := encodeRow(g.ledgers["booking"].row)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "row-bytes")
}
