package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Config configures a Platform.
type Config struct {
	Cell Cell
	// Clock returns the time; nil is time.Now.
	Clock func() time.Time
	// Sleep waits for latencies and delays; nil uses a timer.
	Sleep func(ctx context.Context, d time.Duration) error
	// Seed initializes the random number generator of the faults that occur with a probability.
	Seed uint64
	// Behavior returns the behavior of a started task; nil is CommandBehavior.
	Behavior func(start *platform.StartTask) Behavior
	// TimeScale multiplies the run times of all tasks; zero means 1.
	TimeScale float64
	// Faults holds the initial faults; nil is DefaultFaults.
	Faults *Faults
	// Invariants records the invariant violations that the workers detect; nil records none.
	Invariants *invariant.Recorder
	Log        zerolog.Logger
	// MaxHistory limits the number of attempts kept for Starts; zero means DefaultMaxHistory.
	MaxHistory int
}

// DefaultMaxHistory is the default number of attempts kept for Starts; the oldest are dropped first.
const DefaultMaxHistory = 200_000

// Platform is the stand-in for the platform. Its services are called through a
// Caller. It is safe for concurrent use.
type Platform struct {
	cfg Config

	mu           sync.Mutex
	faults       Faults
	rng          *rand.Rand
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	table        *table
	delayedTxns  []delayedTxn
	objects      map[string][]byte
	racks        map[cluster.RackID]*rack
	workers      map[cluster.WorkerID]*worker
	// orderedWorkers holds the workers in the order of their creation, for a deterministic iteration order.
	orderedWorkers []*worker
	vmList         vmList
	history        history
	stats          Stats
	// baseCursor is the lowest cursor of racks and the first version of the VM
	// list. It is the start time in milliseconds, so that cursors of an earlier
	// run are recognized because they are lower.
	baseCursor uint64
}

// Stats counts calls and their results.
type Stats struct {
	Reads, RowsRead, Commits, RowsWritten int64
	// Throttled counts calls refused because of a rate limit, LostReplies commits
	// and exchanges whose reply was lost.
	Throttled, LostReplies int64
	// StalledCalls counts calls that a stalled store accepted and doesn't reply to.
	StalledCalls      int64
	Exchanges, Starts int64
	// CapacityRefusals counts start commands that exceeded a worker's free capacity.
	CapacityRefusals int64
	// StaleCommands counts commands that were refused because of a stale epoch.
	StaleCommands int64
	// KnownRefusals counts start commands for attempts that the worker knew already.
	KnownRefusals int64
	// ExpiredLeases counts tasks that were stopped because their lease expired.
	ExpiredLeases int64
	// Overlaps counts pairs of attempts of one task that ran at the same time.
	Overlaps int64
}

// New returns a platform with the workers and runners of the configured cell.
func New(cfg Config) *Platform {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Sleep == nil {
		cfg.Sleep = sleepContext
	}
	if cfg.Behavior == nil {
		cfg.Behavior = CommandBehavior
	}
	if cfg.TimeScale == 0 {
		cfg.TimeScale = 1
	}
	if cfg.MaxHistory == 0 {
		cfg.MaxHistory = DefaultMaxHistory
	}
	p := &Platform{
		cfg: cfg, faults: DefaultFaults(), rng: rand.New(rand.NewPCG(cfg.Seed, 0)), table: newTable(),
		objects: map[string][]byte{}, racks: map[cluster.RackID]*rack{}, workers: map[cluster.WorkerID]*worker{},
		history: newHistory(cfg.MaxHistory), baseCursor: uint64(max(0, cfg.Clock().UnixMilli())),
	}
	p.vmList = newVMList(p.baseCursor)
	if cfg.Faults != nil {
		p.faults = *cfg.Faults
	}
	p.writeLimiter = newLimiter(p.faults.WriteRate)
	p.readLimiter = newLimiter(p.faults.ReadRate)
	for _, vm := range cfg.Cell.VMs() {
		p.addVM(vm, time.Time{})
	}
	return p
}

// sleepContext waits for d; it returns early with an error when the context ends.
func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newLimiter returns a limiter that allows a burst of one second's rows.
func newLimiter(rowsPerSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(rowsPerSecond), max(1, int(rowsPerSecond)))
}

// Cell returns the configured layout of the platform.
func (p *Platform) Cell() Cell { return p.cfg.Cell }

// Faults returns the current faults.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults changes the faults; modify is called with the lock held and must not call the platform.
func (p *Platform) SetFaults(modify func(*Faults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.faults
	modify(&p.faults)
	if p.faults.WriteRate != before.WriteRate {
		p.writeLimiter = newLimiter(p.faults.WriteRate)
	}
	if p.faults.ReadRate != before.ReadRate {
		p.readLimiter = newLimiter(p.faults.ReadRate)
	}
}

// Stats returns the counts so far.
func (p *Platform) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Caller calls the platform from one place, with the latencies and network
// partitions of that place. It implements the same interfaces as platform.Client.
type Caller struct {
	p     *Platform
	place cluster.Place
}

var (
	_ platform.TableService = (*Caller)(nil)
	_ platform.ObjectStore  = (*Caller)(nil)
	_ platform.VMLister     = (*Caller)(nil)
	_ platform.RackService  = (*Caller)(nil)
)

// Caller returns a caller at a place; calls from the zero place have no latency.
func (p *Platform) Caller(place cluster.Place) *Caller { return &Caller{p, place} }

// waitLatency waits for the one-way latency between the caller and a place.
func (c *Caller) waitLatency(ctx context.Context, to cluster.Place) error {
	return c.p.sleep(ctx, c.p.cfg.Cell.latency(c.place, to))
}

// sleep waits for d; it calls Config.Sleep only if d is positive.
func (p *Platform) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return p.cfg.Sleep(ctx, d)
}

// storePlace returns the place of the stores. Its zone is not set, so that
// callers in the same region have the latency between zones.
func (p *Platform) storePlace() cluster.Place { return cluster.Place{Region: p.cfg.Cell.StoreRegion} }

func unavailableError(op string, err error) error {
	return &platform.Error{Op: op, Kind: platform.KindUnavailable, Err: err}
}

func unknownError(op string, err error) error {
	return &platform.Error{Op: op, Kind: platform.KindUnknown, Err: err}
}
