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
	// Clock returns the time; nil is the system's clock.
	Clock func() time.Time
	// Sleep waits for latencies and delays; nil waits on the system's clock.
	Sleep func(ctx context.Context, d time.Duration) error
	// Seed makes the faults that are left to chance repeatable.
	Seed uint64
	// Behavior says how a started task behaves; nil is CommandBehavior.
	Behavior func(start *platform.StartTask) Behavior
	// TimeScale multiplies the run times of all tasks; zero means 1.
	TimeScale float64
	// Faults are the settings at the start; nil is DefaultFaults.
	Faults *Faults
	// Invariants records violations seen by the workers; nil records none.
	Invariants *invariant.Recorder
	Log        zerolog.Logger
	// MaxHistory limits the attempts kept for Starts; zero means DefaultMaxHistory.
	MaxHistory int
}

// DefaultMaxHistory is the number of attempts kept for Starts; older ones are dropped first.
const DefaultMaxHistory = 200_000

// Platform is the stand-in; callers reach it through Caller.
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
	// order holds the workers in the order of their creation, for deterministic sweeps.
	orderedWorkers []*worker
	vmList         vmList
	history        history
	stats          Stats
	// base is where cursors start. It follows the clock, so that a cursor of an earlier run is recognised.
	baseCursor uint64
}

// Stats counts calls and refusals.
type Stats struct {
	Reads, RowsRead, Commits, RowsWritten int64
	Throttled, LostAnswers                int64
	// Silenced counts calls that a silent store accepted and never answers.
	StalledCalls      int64
	Exchanges, Starts int64
	// CapacityRefusals counts starts beyond a worker's capacity.
	CapacityRefusals int64
	// StaleCommands counts commands refused by the fence.
	StaleCommands int64
	// KnownRefusals counts starts of attempts that the worker knew.
	KnownRefusals int64
	// LapsedLeases counts tasks that were stopped because their lease ran out.
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

// Cell returns the layout that the platform was made from.
func (p *Platform) Cell() Cell { return p.cfg.Cell }

// Faults returns the present settings.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults changes the settings; change is called with the lock held and must not call the platform.
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

// Caller is the platform as seen from one place; it implements every interface of package platform.
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

// Caller returns the platform as seen from a place; calls from the zero place have no latency.
func (p *Platform) Caller(place cluster.Place) *Caller { return &Caller{p, place} }

// travel waits for the latency of one way between the caller and a place.
func (c *Caller) waitLatency(ctx context.Context, to cluster.Place) error {
	return c.p.sleep(ctx, c.p.cfg.Cell.latency(c.place, to))
}

// wait sleeps for d; it doesn't call Sleep for nothing.
func (p *Platform) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	return p.cfg.Sleep(ctx, d)
}

// storePlace returns the place of the stores; its zone is unnamed, so that callers of the region are one zone away.
func (p *Platform) storePlace() cluster.Place { return cluster.Place{Region: p.cfg.Cell.StoreRegion} }

func unavailableError(op string, err error) error {
	return &platform.Error{Op: op, Kind: platform.KindUnavailable, Err: err}
}

func unknownError(op string, err error) error {
	return &platform.Error{Op: op, Kind: platform.KindUnknown, Err: err}
}
