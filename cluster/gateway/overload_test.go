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

// overloadCase is the demand of two teams, in multiples of the capacity: archive has a
// share of 3, radio a share of 1.
type overloadCase struct {
	Name           string
	Archive, Radio float64
	// Goodput, ArchiveServed and RadioServed are the minimum responses in time, in multiples of the capacity.
	Goodput, ArchiveServed, RadioServed float64
	// QueueLimit is zero for the default.
	QueueLimit int
}

// Guards against overload that reduces the responses in time to less than 90% of the
// capacity, and against a team with demand that gets less than its weighted share.
func TestOverload(t *testing.T) {
	for _, tc := range loadTestCases[overloadCase](t, "overload.json") {
		t.Run(tc.Name, func(t *testing.T) {
			entities := []cluster.Entity{&cluster.Team{Name: "archive", Share: 3}, &cluster.Team{Name: "radio", Share: 1}}
			options := clusterOptions{daemons: 1, runners: 4, entities: entities, queueLimit: tc.QueueLimit}
			runTestCluster(t, options, func(c *testCluster) { tc.check(c) })
		})
	}
}

const (
	overloadDuration = 10 * time.Second
	// overloadCapacity is in requests per second: 4 runners with 8 slots, 100 ms per request on average.
	overloadCapacity = 320
)

func (tc *overloadCase) check(c *testCluster) {
	c.setHandlers(func(conn net.Conn, req *http.Request, body []byte) bool {
		serviceTime, err := time.ParseDuration(req.Header.Get("X-Took"))
		return err == nil && echo(serviceTime)(conn, req, body)
	})
	var archive, radio atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() { c.generateLoad(&archive, "archive", tc.Archive*overloadCapacity, 1) })
	wg.Go(func() { c.generateLoad(&radio, "radio", tc.Radio*overloadCapacity, 2) })
	wg.Wait()
	total := overloadCapacity * overloadDuration.Seconds()
	archiveServed, radioServed := float64(archive.Load())/total, float64(radio.Load())/total
	c.t.Logf("responses in time, in multiples of the capacity: archive %.3f, radio %.3f, both %.3f", archiveServed, radioServed, archiveServed+radioServed)
	c.is.True(archiveServed+radioServed >= tc.Goodput)
	c.is.True(archiveServed >= tc.ArchiveServed)
	c.is.True(radioServed >= tc.RadioServed)
}

// generateLoad sends requests with exponentially distributed gaps and service times of 50
// to 150 ms, and counts the responses within a second.
func (c *testCluster) generateLoad(served *atomic.Int64, team string, rate float64, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 3))
	var wg sync.WaitGroup
	end := time.Now().Add(overloadDuration)
	for at := time.Duration(0); at < overloadDuration; {
		gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		time.Sleep(gap)
		at += gap
		serviceTime := 50*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
		wg.Go(func() {
			w := c.sendAs(0, team, "booking", "POST", "/x", "", "Goldcrest-Timeout: 1s", "X-Took: "+serviceTime.String())
			if w.Code == http.StatusOK && time.Now().Before(end) {
				served.Add(1)
			}
		})
	}
	wg.Wait()
}
