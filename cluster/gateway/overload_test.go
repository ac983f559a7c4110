package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// overloadCase is the demand of two teams, archive with a share of 3 and radio
// with a share of 1, in multiples of the capacity.
type overloadCase struct {
	Name           string
	Archive, Radio float64
	// Goodput, ArchiveServed and RadioServed are the least answers in time, in multiples of the capacity.
	Goodput, ArchiveServed, RadioServed float64
	// QueueLimit is left out for the default.
	QueueLimit int
}

// Guards against overload that lowers the answers in time below 90% of the
// capacity, and against a team with demand that gets less than its weighted share.
func TestOverload(t *testing.T) {
	for _, tc := range loadCases[overloadCase](t, "overload.json") {
		t.Run(tc.Name, func(t *testing.T) {
			entities := []cluster.Entity{&cluster.Team{Name: "archive", Share: 3}, &cluster.Team{Name: "radio", Share: 1}}
			o := cellOptions{daemons: 1, runners: 4, entities: entities, queueLimit: tc.QueueLimit}
			runCell(t, o, func(c *testCell) { tc.check(c) })
		})
	}
}

const (
	overloadFor = 10 * time.Second
	// capacity in requests per second: 4 runners with 8 slots, 100 ms a request on average.
	overloadCapacity = 320
)

func (tc *overloadCase) check(c *testCell) {
	c.setAll(func(conn net.Conn, req *http.Request, body []byte) bool {
		took, err := time.ParseDuration(req.Header.Get("X-Took"))
		return err == nil && echo(took)(conn, req, body)
	})
	var archive, radio atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() { c.demand(&archive, "archive", tc.Archive*overloadCapacity, 1) })
	wg.Go(func() { c.demand(&radio, "radio", tc.Radio*overloadCapacity, 2) })
	wg.Wait()
	total := overloadCapacity * overloadFor.Seconds()
	a, r := float64(archive.Load())/total, float64(radio.Load())/total
	c.t.Logf("answers in time, in multiples of the capacity: archive %.3f, radio %.3f, both %.3f", a, r, a+r)
	c.is.True(a+r >= tc.Goodput)
	c.is.True(a >= tc.ArchiveServed)
	c.is.True(r >= tc.RadioServed)
}

// demand sends requests at a rate with exponential gaps and service times of 50
// to 150 ms, and counts the answers within a second.
func (c *testCell) demand(served *atomic.Int64, team string, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	var wg sync.WaitGroup
	end := time.Now().Add(overloadFor)
	for at := time.Duration(0); at < overloadFor; {
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(gap)
		at += gap
		took := 50*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
		wg.Go(func() {
			w := c.askAs(0, team, "booking", "POST", "/x", "", "Goldcrest-Timeout: 1s", "X-Took: "+took.String())
			if w.Code == http.StatusOK && time.Now().Before(end) {
				served.Add(1)
			}
		})
	}
	wg.Wait()
}
