package rack

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
)

// Config configures a Controller.
type Config struct {
	Self  cluster.DaemonID
	Place cluster.Place
	// Lease is how long a task runs on without an exchange; zero means 20 s.
	Lease time.Duration
	// Random returns a number in [0, 1) and spreads retries; it is called from Step only.
	Random     func() float64
	Log        zerolog.Logger
	Metrics    tally.Scope
	Invariants *invariant.Recorder
}

// Controller is the control state of one daemon; its methods are called by one goroutine.
type Controller struct{ cfg Config }

// New returns a controller that owns no racks.
func New(cfg Config) *Controller { return &Controller{cfg: cfg} }

// Step advances the state machine to now and returns what is to be done, in order.
func (c *Controller) Step(now time.Time, events []Event) []Effect { return nil }

// View returns the listings for the HTTP API.
func (c *Controller) View() View { return View{} }

// Digest returns the free capacity of the owned racks for the next ping.
func (c *Controller) Digest() []peer.RackDigest { return nil }

// Explain says why a job's tasks wait; false if the job is not known here.
func (c *Controller) Explain(job cluster.JobID) (string, bool) { return "", false }
