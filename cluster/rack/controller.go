package rack

import (
	"math"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// DefaultLease is how long a task runs on without an exchange.
const DefaultLease = 20 * time.Second

const (
	// defaultRetention is how long a job that ended can be looked up and its id counts as taken.
	defaultRetention = 10 * time.Minute
	// scanInterval is just below the tick of the daemon, so that every tick scans.
	scanInterval = 90 * time.Millisecond
	// driftPercent bounds the difference between the clocks of a worker and of a daemon.
	driftPercent = 10
	// inFlight is how long a call of an earlier owner, or a renewal on its behalf, may still be under way.
	inFlight = 5 * time.Second
)

// Config configures a Controller.
type Config struct {
	Self  cluster.DaemonID
	Place cluster.Place
	// Lease is how long a task runs on without an exchange; zero means 20 s.
	Lease time.Duration
	// Retention is how long the row of a job that ended is kept; zero means 10 minutes.
	Retention time.Duration
	// Random returns a number in [0, 1) and spreads retries; it is called from Step only. Nil means no spreading.
	Random     func() float64
	Log        zerolog.Logger
	Metrics    tally.Scope
	Invariants *invariant.Recorder
}

// Controller is the control state of one daemon; its methods are called by one goroutine.
type Controller struct {
	cfg     Config
	now     time.Time
	started bool
	effects []Effect
	token   Token

	reads     map[Token]func(platform.ReadReply, error)
	commits   map[Token]func(cluster.Version, error)
	exchanges map[Token]func(*ExchangeDone)

	store   storeState
	members members
	vms     map[cluster.WorkerID]platform.VM
	config  *cluster.Snapshot

	racks     map[cluster.RackID]*rack
	rackOrder []*rack
	jobs      map[cluster.JobID]*job
	// remote holds assignment rows of other owners' racks for jobs whose home rack is owned here.
	remote map[string]remoteRow
	grants map[cluster.TeamName]*grants
	// ending lists jobs to check for their end, expiring the ended ones by time.
	ending   []cluster.JobID
	expiring []expiry

	health    *placement.WorkerHealth
	estimator *placement.Estimator

	submissions map[cluster.JobID]*submission
	submitOrder []*submission
	cancels     cancels
	declared    declared
	// gangs lists the active gang jobs by name.
	gangs    []cluster.JobID
	timers   []timer
	lastScan time.Time
	// nextBalance and nextMoves are when grants and moves are looked at again.
	nextBalance, nextMoves time.Time
	draining               bool
	drained                bool
}

// New returns a controller that owns no racks.
func New(cfg Config) *Controller {
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.Random == nil {
		cfg.Random = func() float64 { return 0 }
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return &Controller{
		cfg:       cfg,
		reads:     map[Token]func(platform.ReadReply, error){},
		commits:   map[Token]func(cluster.Version, error){},
		exchanges: map[Token]func(*ExchangeDone){},
		store:     storeState{up: true, floor: math.MaxUint64},
		members:   members{live: map[cluster.DaemonID]Member{}, digests: map[cluster.DaemonID]digest{}},
		vms:       map[cluster.WorkerID]platform.VM{},
		config:    cluster.Assemble(0, nil),
		racks:     map[cluster.RackID]*rack{},
		jobs:      map[cluster.JobID]*job{},
		remote:    map[string]remoteRow{},
		grants:    map[cluster.TeamName]*grants{},
		health:    placement.NewWorkerHealth(placement.HealthConfig{}),
		estimator: placement.NewEstimator(placement.EstimatorConfig{}),

		submissions: map[cluster.JobID]*submission{},
	}
}

// scanDue reports whether the systems that look at every rack are due. They
// depend on time more than on single events, of which many come between two ticks.
func (c *Controller) scanDue() bool {
	if c.now.Sub(c.lastScan) < scanInterval {
		return false
	}
	c.lastScan = c.now
	return true
}

// Step advances the state machine to now and returns what is to be done, in order.
func (c *Controller) Step(now time.Time, events []Event) []Effect {
	c.effects = nil
	pause := now.Sub(c.now)
	paused := c.started && pause > c.cfg.Lease
	c.now, c.started = now, true
	if paused {
		c.afterPause(pause)
	}
	for _, e := range events {
		c.handle(e)
	}
	c.runTimers()
	c.poll()
	if c.scanDue() {
		c.own()
		c.lapse()
		c.declareJobs()
		c.expire()
		c.balanceGrants()
		c.preempt()
		c.move()
	}
	c.load()
	c.submit()
	c.cancel()
	c.endJobs()
	c.runGangs()
	c.place()
	c.flush()
	c.exchange()
	c.finishDrain()
	return c.effects
}

func (c *Controller) handle(e Event) {
	switch e := e.(type) {
	case *MembersChanged:
		c.setMembers(e.Live)
	case *PlatformList:
		c.setPlatform(e.VMs)
	case *ConfigChanged:
		c.setConfig(e.Snapshot)
	case *RowsRead:
		if done, ok := c.reads[e.Token]; ok {
			delete(c.reads, e.Token)
			c.storeAnswered(e.Err == nil)
			done(e.Reply, e.Err)
		}
	case *CommitDone:
		if done, ok := c.commits[e.Token]; ok {
			delete(c.commits, e.Token)
			c.storeAnswered(e.Err == nil || journal.IsKind(e.Err, journal.KindConflict))
			done(e.Version, e.Err)
		}
	case *ExchangeDone:
		if done, ok := c.exchanges[e.Token]; ok {
			delete(c.exchanges, e.Token)
			done(e)
		}
	case *PeerMessage:
		c.receive(e.From, e.Message)
	case *PeerDigest:
		c.setDigest(e.From, e.Digest)
	case *StoreState:
		c.setStore(e.Up)
	case *Submit:
		c.addSubmission(e)
	case *Cancel:
		c.addCancel(e)
	case *Drain:
		c.draining = true
	}
}

func (c *Controller) receive(from cluster.DaemonID, message peer.Message) {
	switch m := message.(type) {
	case *peer.AssignNotice:
		for _, row := range m.Rows {
			c.ingest(row)
		}
	case *peer.GrantRequest:
		c.grantRequested(m)
	case *peer.GrantRelease:
		c.ingest(m.Row)
	case *peer.HoldRequest:
		c.holdRequested(from, m)
	case *peer.HoldReply:
		c.holdReplied(m)
	case *peer.HoldRelease:
		c.holdReleased(m)
	case *peer.Leaving:
		c.memberLeaving(m.From)
	}
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) nextToken() Token {
	c.token++
	return c.token
}

func (c *Controller) read(req platform.ReadRequest, done func(platform.ReadReply, error)) {
	token := c.nextToken()
	c.reads[token] = done
	c.emit(&ReadRows{Token: token, Request: req})
}

func (c *Controller) commit(change journal.Change, done func(cluster.Version, error)) {
	token := c.nextToken()
	c.commits[token] = done
	c.emit(&Commit{Token: token, Change: change})
}

func (c *Controller) send(to cluster.DaemonID, message peer.Message) {
	if to != "" && to != c.cfg.Self {
		c.emit(&Send{To: to, Message: message})
	}
}

// jitter returns d spread between half and one and a half of it.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.cfg.Random()))
}

// leaseWait is how long after the last possible renewal a lease has surely lapsed.
func (c *Controller) leaseWait() time.Duration {
	return c.cfg.Lease + c.cfg.Lease*driftPercent/100 + inFlight
}

func (c *Controller) require(ok bool, id invariant.ID, format string, args ...any) bool {
	return c.cfg.Invariants.Require(ok, id, format, args...)
}
