package rack

import (
	"math"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/jobquota"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/placement"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// DefaultLease is how long a task keeps running without a renewal of its lease by an exchange.
const DefaultLease = 20 * time.Second

const (
	// defaultRetention is how long the row of an ended job is kept. Until then the job can be
	// looked up and its identifier can't be reused.
	defaultRetention = 10 * time.Minute
	// scanInterval is just below the daemon's tick interval, so that every tick scans.
	scanInterval = 90 * time.Millisecond
	// clockDriftPercent bounds the difference in rate between the clocks of a worker and a daemon.
	clockDriftPercent = 10
	// maxCallDuration is how long an exchange without a reply may still be in flight, also one sent by a previous
	// owner or on its behalf.
	maxCallDuration = 5 * time.Second
)

// Config configures a Controller.
type Config struct {
	// Self is the daemon that the controller runs in, and Place its location.
	Self  cluster.DaemonID
	Place cluster.Place
	// Lease is how long a task keeps running without a renewal; zero means DefaultLease.
	Lease time.Duration
	// Retention is how long the row of a job that ended is kept; zero means 10 minutes.
	Retention time.Duration
	// Random returns a number in [0, 1) that spreads retries; it is called from Step only. Nil means no spreading.
	Random func() float64
	// MaxJobMemory limits the memory of the jobs of callers; zero means no limit.
	MaxJobMemory cluster.Bytes
	Log          zerolog.Logger
	Metrics      tally.Scope
	Invariants   *invariant.Recorder
}

// Controller is the control state machine of one daemon. Its methods must be called by one goroutine at a time.
type Controller struct {
	cfg Config
	// quota counts the memory of the jobs of the cell, as any of them may get tasks on the racks of this daemon.
	quota *jobquota.Account
	// now is the time of the current step; started is set by the first step.
	now     time.Time
	started bool
	// effects collects the effects of the current step.
	effects []Effect
	// lastToken is the last token that was assigned to an effect.
	lastToken Token

	// pendingReads, pendingCommits and pendingExchanges hold the callbacks of effects whose replies have not arrived.
	pendingReads     map[Token]func(platform.ReadReply, error)
	pendingCommits   map[Token]func(cluster.Version, error)
	pendingExchanges map[Token]func(*ExchangeDone)

	store   storeState
	members members
	// vms holds the worker VMs of the platform's list.
	vms map[cluster.WorkerID]platform.VM
	// config is the active configuration.
	config *cluster.Snapshot

	// sortedRacks holds the racks ordered by identifier.
	racks       map[cluster.RackID]*rack
	sortedRacks []*rack
	// jobs holds the jobs whose rows are known.
	jobs map[cluster.JobID]*job
	// remoteAssignments holds, by key, the assignment rows of racks that other daemons own, for
	// jobs whose home rack is owned here.
	remoteAssignments map[string]remoteAssignment
	// grants holds the parts of each team's limit that are granted to racks.
	grants map[cluster.TeamName]*teamGrants
	// endCheckQueue holds jobs that may have ended; expirations holds ended jobs whose rows are to be deleted.
	endCheckQueue []cluster.JobID
	expirations   []jobExpiry

	// health tracks failures of workers and retry budgets, estimator the resources and run times that tasks need.
	health    *placement.HealthTracker
	estimator *placement.Estimator

	// submissions holds the submissions in progress by job, submissionQueue in order of arrival.
	submissions     map[cluster.JobID]*submission
	submissionQueue []*submission
	cancellations   cancelState
	declaredJobs    declaredState
	// gangJobs lists the active gang jobs by name.
	gangJobs []cluster.JobID
	// timers holds the scheduled callbacks in the order in which they were scheduled.
	timers []timer
	// lastScanAt is when all racks were last scanned.
	lastScanAt time.Time
	// nextGrantBalanceAt is when grants are next balanced, nextMoveScanAt when pending tasks are
	// next considered for a move.
	nextGrantBalanceAt, nextMoveScanAt time.Time
	// draining is set by a Drain event; drained is set once Drained was emitted.
	draining bool
	drained  bool
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
		cfg:               cfg,
		pendingReads:      map[Token]func(platform.ReadReply, error){},
		pendingCommits:    map[Token]func(cluster.Version, error){},
		pendingExchanges:  map[Token]func(*ExchangeDone){},
		store:             storeState{up: true, minReadVersion: math.MaxUint64},
		members:           members{live: map[cluster.DaemonID]Member{}, digests: map[cluster.DaemonID]memberDigest{}},
		vms:               map[cluster.WorkerID]platform.VM{},
		config:            cluster.Assemble(0, nil),
		racks:             map[cluster.RackID]*rack{},
		jobs:              map[cluster.JobID]*job{},
		quota:             jobquota.New(cfg.MaxJobMemory).Open(),
		remoteAssignments: map[string]remoteAssignment{},
		grants:            map[cluster.TeamName]*teamGrants{},
		health:            placement.NewHealthTracker(placement.HealthConfig{}),
		estimator:         placement.NewEstimator(placement.EstimatorConfig{}),

		submissions: map[cluster.JobID]*submission{},
	}
}

// scanDue reports whether the functions that scan all racks are due. They depend
// on time rather than on single events, of which many arrive between two ticks.
func (c *Controller) scanDue() bool {
	if c.now.Sub(c.lastScanAt) < scanInterval {
		return false
	}
	c.lastScanAt = c.now
	return true
}

// Step advances the state machine to now, handles the events and returns the effects to carry out, in order.
func (c *Controller) Step(now time.Time, events []Event) []Effect {
	c.effects = nil
	pause := now.Sub(c.now)
	paused := c.started && pause > c.cfg.Lease
	c.now, c.started = now, true
	if paused {
		c.recoverFromPause(pause)
	}
	for _, e := range events {
		c.handleEvent(e)
	}
	c.runDueTimers()
	c.pollStore()
	if c.scanDue() {
		c.reconcileOwnership()
		c.expireLeases()
		c.reconcileDeclaredJobs()
		c.deleteExpiredJobs()
		c.balanceGrants()
		c.preemptTasks()
		c.movePendingTasks()
	}
	c.loadAssignments()
	c.processSubmissions()
	c.processCancels()
	c.recordEndedJobs()
	c.processGangs()
	c.placeTasks()
	c.flushAssignments()
	c.exchangeRacks()
	c.finishDrain()
	return c.effects
}

// handleEvent dispatches one event.
func (c *Controller) handleEvent(e Event) {
	switch e := e.(type) {
	case *MembersChanged:
		c.setMembers(e.Live)
	case *PlatformList:
		c.setVMs(e.VMs)
	case *ConfigChanged:
		c.setConfig(e.Snapshot)
	case *RowsRead:
		if done, ok := c.pendingReads[e.Token]; ok {
			delete(c.pendingReads, e.Token)
			c.updateStoreBackoff(e.Err == nil)
			done(e.Reply, e.Err)
		}
	case *CommitDone:
		if done, ok := c.pendingCommits[e.Token]; ok {
			delete(c.pendingCommits, e.Token)
			c.updateStoreBackoff(e.Err == nil || journal.IsKind(e.Err, journal.KindConflict))
			done(e.Version, e.Err)
		}
	case *ExchangeDone:
		if done, ok := c.pendingExchanges[e.Token]; ok {
			delete(c.pendingExchanges, e.Token)
			done(e)
		}
	case *PeerMessage:
		c.handlePeerMessage(e.From, e.Message)
	case *PeerDigest:
		c.setDigest(e.From, e.Digest)
	case *StoreState:
		c.setStoreState(e.Up)
	case *Submit:
		c.addSubmission(e)
	case *Cancel:
		c.addCancel(e)
	case *Drain:
		c.draining = true
	}
}

// handlePeerMessage dispatches a message from another daemon.
func (c *Controller) handlePeerMessage(from cluster.DaemonID, message peer.Message) {
	switch m := message.(type) {
	case *peer.AssignNotice:
		for _, row := range m.Rows {
			c.ingestRow(row)
		}
	case *peer.GrantRequest:
		c.handleGrantRequest(m)
	case *peer.GrantRelease:
		c.ingestRow(m.Row)
	case *peer.HoldRequest:
		c.handleHoldRequest(from, m)
	case *peer.HoldReply:
		c.handleHoldReply(m)
	case *peer.HoldRelease:
		c.handleHoldRelease(m)
	case *peer.Leaving:
		c.removeMember(m.From)
	}
}

// emit appends an effect to those of the current step.
func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

// nextToken returns a new token for an effect.
func (c *Controller) nextToken() Token {
	c.lastToken++
	return c.lastToken
}

// readRows reads rows from the table service and calls done with the reply.
func (c *Controller) readRows(req platform.ReadRequest, done func(platform.ReadReply, error)) {
	token := c.nextToken()
	c.pendingReads[token] = done
	c.emit(&ReadRows{Token: token, Request: req})
}

// commit commits a change and calls done with its version or error.
func (c *Controller) commit(change journal.Change, done func(cluster.Version, error)) {
	token := c.nextToken()
	c.pendingCommits[token] = done
	c.emit(&Commit{Token: token, Change: change})
}

// send sends a message to another daemon. It does nothing if the receiver is empty or this daemon itself.
func (c *Controller) send(to cluster.DaemonID, message peer.Message) {
	if to != "" && to != c.cfg.Self {
		c.emit(&Send{To: to, Message: message})
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (c *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.cfg.Random()))
}

// leaseExpiryDelay is how long after the last possible renewal a lease has certainly expired.
func (c *Controller) leaseExpiryDelay() time.Duration {
	return c.cfg.Lease + c.cfg.Lease*clockDriftPercent/100 + maxCallDuration
}

// checkInvariant records a violation of an invariant if ok is false, and returns ok.
func (c *Controller) checkInvariant(ok bool, id invariant.ID, format string, args ...any) bool {
	return c.cfg.Invariants.Require(ok, id, format, args...)
}
