package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Guards against a planned stop that interrupts a request, takes a new one or keeps slots.
func TestDrainUnderLoad(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 2, took: time.Second}, func(c *testCell) {
		running := c.load(0, 20, "archive", "POST") // eight run, the others wait
		keyed := make(chan int, 1)
		go func() { keyed <- c.ask(0, "POST", "/k", "", key).Code }()
		time.Sleep(500 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- c.daemons()[0].Drain(context.Background()) }()
		time.Sleep(100 * time.Millisecond)
		w := c.ask(0, "GET", "/x", "")
		c.is.Equal(w.Code, 503)
		c.is.Equal(runOf(w), "no")
		c.is.Equal(w.Header().Get("Connection"), "close")
		c.is.Equal(running()[200], 20)
		c.is.Equal(<-keyed, 200)
		c.is.NoErr(<-drained)
		c.is.Equal(c.slots(0), 0)
		row, err := decodeRow(c.store.value("slots/booking"))
		c.is.NoErr(err)
		c.is.Equal(row.total(cluster.DaemonID("daemon-0")), 0)
		c.is.Equal(c.ask(1, "POST", "/k", "", key).Header().Get(headerReplayed), "true") // recorded before the end
		c.daemons()[1].SetMembers([]Member{{ID: "daemon-1"}, {ID: "daemon-0", Leaving: true}})
		time.Sleep(3 * time.Second)
		c.is.Equal(c.slots(1), 16)
	})
}

// Guards against a drain that reports success while a request still runs.
func TestDrainDeadline(t *testing.T) {
	runCell(t, cellOptions{runners: 1, took: 5 * time.Second}, func(c *testCell) {
		running := c.load(0, 1, "archive", "POST")
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		c.is.True(c.daemons()[0].Drain(ctx) != nil)
		c.is.Equal(running()[200], 1)
	})
}
