package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against a drain that interrupts a request, accepts a new one or keeps slots.
func TestDrainUnderLoad(t *testing.T) {
	runTestCluster(t, clusterOptions{daemons: 2, runners: 2, serviceTime: time.Second}, func(c *testCluster) {
		running := c.sendConcurrently(0, 20, "archive", "POST") // eight use the slots, the others wait
		statusWithKey := make(chan int, 1)
		go func() { statusWithKey <- c.send(0, "POST", "/k", "", keyHeader).Code }()
		time.Sleep(500 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- c.daemons()[0].Drain(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		w := c.send(0, "GET", "/x", "")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runStatusOf(w), "no")
		c.is.Equal(w.Header().Get("Connection"), "close")
		c.is.Equal(running()[200], 20)
		c.is.Equal(<-statusWithKey, 200)
		c.is.NoErr(<-drained)
		c.is.Equal(c.usableSlots(0), 0)
		row, err := decodePoolRow(c.store.rowValue("slots/booking"))
		c.is.NoErr(err)
		c.is.Equal(row.allocatedTo(cluster.DaemonID("daemon-0")), 0)
		c.is.Equal(c.send(1, "POST", "/k", "", keyHeader).Header().Get(headerReplayed), "true") // recorded before the drain ended
		c.daemons()[1].SetMembers([]Member{{ID: "daemon-1"}, {ID: "daemon-0", Leaving: true}})
		time.Sleep(3 * time.Second)
		c.is.Equal(c.usableSlots(1), 16)
	})
}

// Guards against a drain that reports success while a request still runs.
func TestDrainDeadline(t *testing.T) {
	runTestCluster(t, clusterOptions{runners: 1, serviceTime: 5 * time.Second}, func(c *testCluster) {
		running := c.sendConcurrently(0, 1, "archive", "POST")
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.is.True(c.daemons()[0].Drain(ctx) != nil)
		c.is.Equal(running()[200], 1)
	})
}
