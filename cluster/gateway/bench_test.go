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

const benchResponseSize = 2 << 10

// benchServer starts an HTTP server on a loopback address.
func benchServer(b *testing.B, h http.Handler) string {
	b.Helper()
	s := httptest.NewServer(h)
	b.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// benchRunners starts runners that respond at once, spread over the given places in turn.
func benchRunners(b *testing.B, n int, places ...cluster.Place) []platform.VM {
	b.Helper()
	body := strings.Repeat("x", benchResponseSize)
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

// benchGateway starts a gateway to which all slots of the runners are allocated.
func benchGateway(b *testing.B, vms []platform.VM) (*Gateway, *paidlink.Counter) {
	b.Helper()
	store := &memoryStore{rows: map[string]platform.Row{}}
	j := journal.New(journal.Config{Store: store, Writer: "bench"})
	paidLink := paidlink.New(paidlink.Config{Self: localPlace.Region})
	g := New(Config{
		Self: "bench", Place: localPlace, Store: store, Journal: j, PaidLink: paidLink, Random: rand.New(rand.NewPCG(1, 1)),
		Authorizer: &testAuthorizer{snapshot: cluster.Assemble(1, testEntities())},
	})
	b.Cleanup(func() { j.Close(); g.Close() })
	g.SetMembers([]Member{{ID: "bench"}})
	g.SetUpstreams(vms)
	for range 100 {
		if s := g.Status().Services; len(s) > 0 && s[0].Slots == len(vms)*defaultSlots {
			return g, paidLink
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

func benchRequest(b *testing.B, client *http.Client, url string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		b.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer archive")
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		b.Error(err)
		return 0
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != benchResponseSize || resp.StatusCode != http.StatusOK {
		b.Errorf("status %d with %d bytes: %v", resp.StatusCode, n, err)
	}
	return time.Since(start)
}

// benchPath is one path of the requests: directly to a runner, or through the gateway.
type benchPath struct {
	name, url string
	client    *http.Client
	latency   *hdrhistogram.Histogram
	duration  time.Duration
	requests  int
}

func benchPaths(b *testing.B) []*benchPath {
	vms := benchRunners(b, 8, localPlace)
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

// sendRound sends n requests with the given concurrency.
func (p *benchPath) sendRound(b *testing.B, n, concurrency int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for range concurrency {
		wg.Go(func() {
			for range n / concurrency {
				d := benchRequest(b, p.client, p.url)
				mu.Lock()
				_ = p.latency.RecordValue(int64(d))
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	p.duration += time.Since(start)
	p.requests += n / concurrency * concurrency
}

// BenchmarkAddedLatency compares requests through the gateway with direct ones. The rounds
// alternate, so that noise affects both equally.
func BenchmarkAddedLatency(b *testing.B) {
	for _, concurrency := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("concurrency=%d", concurrency), func(b *testing.B) {
			paths := benchPaths(b)
			for _, p := range paths {
				p.sendRound(b, concurrency*10, concurrency)
				p.latency.Reset()
				p.duration, p.requests = 0, 0
			}
			const rounds = 10
			b.ResetTimer()
			for range rounds {
				for _, p := range paths {
					p.sendRound(b, max(b.N/rounds, concurrency), concurrency)
				}
			}
			direct, viaGateway := paths[0], paths[1]
			for _, q := range []float64{50, 99} {
				d, v := direct.latency.ValueAtQuantile(q), viaGateway.latency.ValueAtQuantile(q)
				b.ReportMetric(float64(v-d)/1e3, fmt.Sprintf("added-p%.0f-µs", q))
				b.ReportMetric(float64(v)/float64(d), fmt.Sprintf("p%.0f-ratio", q))
			}
			b.ReportMetric(float64(viaGateway.requests)/viaGateway.duration.Seconds(), "gateway-req/s")
			b.ReportMetric(float64(direct.requests)/direct.duration.Seconds(), "direct-req/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkPaidLink compares the bytes sent over the paid link with a choice of runners that ignores zones.
func BenchmarkPaidLink(b *testing.B) {
	places := []cluster.Place{
		localPlace, {Region: localPlace.Region, Zone: "ds-2"}, {Region: "romandie", Zone: "ro-1"},
	}
	for _, ignoreZones := range []bool{true, false} {
		b.Run(fmt.Sprintf("blind=%v", ignoreZones), func(b *testing.B) {
			g, paidLink := benchGateway(b, benchRunners(b, 12, places...))
			if ignoreZones {
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
			b.ReportMetric(float64(paidLink.Crossed(paidlink.CauseRequest))/float64(b.N), "paid-bytes/req")
			b.ReportMetric(float64(paidLink.Total(paidlink.CauseRequest))/float64(b.N), "all-bytes/req")
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
		Self: "daemon-0", Place: localPlace, Authorizer: &testAuthorizer{snapshot: cluster.Assemble(1, entities)},
		Store: &memoryStore{rows: map[string]platform.Row{}, unavailable: true}, Tick: time.Hour,
	})
	defer g.Close()
	var members []Member
	for i := range 7 {
		members = append(members, Member{ID: cluster.DaemonID(fmt.Sprintf("daemon-%d", i))})
	}
	g.SetMembers(members)
	var vms []platform.VM
	for i := range 50 {
		vms = append(vms, platform.VM{ID: fmt.Sprintf("runner-%02d", i), Role: platform.RoleRunner, Service: "booking", Place: localPlace})
	}
	g.SetUpstreams(vms)
	g.tick()
	// Every daemon has its fair share, so nothing has to be rebalanced.
	for _, pool := range g.pools {
		row := poolAllocations{}
		for id, quota := range pool.quotas {
			row[id] = &allocation{capacity: quota.capacity, byDaemon: map[cluster.DaemonID]int{}}
			for _, m := range g.membership.all {
				row[id].set(m, fairShare(id, quota.capacity, g.membership.active, m))
			}
		}
		pool.apply(g.cfg.Self, row, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.tick()
	}
	data, err := encodePoolRow(g.pools["booking"].allocations)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "row-bytes")
}
