package standin

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// duration is a time.Duration that is encoded as a string such as 1.5s in JSON.
type duration time.Duration

// MarshalText formats the duration as time.Duration.String does.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = duration(v)
	return err
}

// faultsWire is the JSON form of Faults.
type faultsWire struct {
	StoreDown           bool             `json:"storeDown"`
	StoreStalled        bool             `json:"storeSilent"`
	StoreDelay          duration         `json:"storeDelay"`
	LostCommitReplies   float64          `json:"lostAnswers"`
	LostCommitUnapplied float64          `json:"lostUnapplied"`
	LostCommitDelay     duration         `json:"lostDelay"`
	WriteRate           float64          `json:"writeRate"`
	ReadRate            float64          `json:"readRate"`
	ObjectsDown         bool             `json:"objectsDown"`
	VMListDown          bool             `json:"vmListDown"`
	VMListLag           duration         `json:"vmListLag"`
	UsageLag            duration         `json:"usageLag"`
	PartitionedRegions  []cluster.Region `json:"cutRegions"`
	RacksDown           []cluster.RackID `json:"racksDown"`
	LostExchangeReplies float64          `json:"lostExchanges"`
}

func faultsToWire(f Faults) faultsWire {
	return faultsWire{
		f.StoreDown, f.StoreStalled, duration(f.StoreDelay), f.LostCommitReplies, f.LostCommitUnapplied, duration(f.LostCommitDelay), f.WriteRate, f.ReadRate,
		f.ObjectsDown, f.VMListDown, duration(f.VMListLag), duration(f.UsageLag),
		slices.Clone(f.PartitionedRegions), slices.Clone(f.RacksDown), f.LostExchangeReplies,
	}
}

func (w *faultsWire) toFaults() Faults {
	return Faults{
		w.StoreDown, w.StoreStalled, time.Duration(w.StoreDelay), w.LostCommitReplies, w.LostCommitUnapplied, time.Duration(w.LostCommitDelay), w.WriteRate, w.ReadRate,
		w.ObjectsDown, w.VMListDown, time.Duration(w.VMListLag), time.Duration(w.UsageLag), w.PartitionedRegions, w.RacksDown, w.LostExchangeReplies,
	}
}

// validate returns an error for values that are out of range.
func (w *faultsWire) validate() error {
	for _, p := range []float64{w.LostCommitReplies, w.LostCommitUnapplied, w.LostExchangeReplies} {
		if p < 0 || p > 1 {
			return fmt.Errorf("the probability %v is not between 0 and 1", p)
		}
	}
	for _, d := range []duration{w.StoreDelay, w.LostCommitDelay, w.VMListLag, w.UsageLag} {
		if d < 0 {
			return fmt.Errorf("the duration %v is negative", time.Duration(d))
		}
	}
	if w.WriteRate <= 0 || w.ReadRate <= 0 {
		return fmt.Errorf("the rates %v and %v must be positive", w.WriteRate, w.ReadRate)
	}
	return nil
}

// workerFaultsWire is the JSON form of WorkerFaults.
type workerFaultsWire struct {
	Unreachable   bool    `json:"unreachable"`
	Paused        bool    `json:"paused"`
	Dead          bool    `json:"dead"`
	FailAll       bool    `json:"failAll"`
	SizeFactor    float64 `json:"sizeFactor"`
	RunTimeFactor float64 `json:"runTimeFactor"`
}

// runnerFaultsWire is the JSON form of RunnerFaults.
type runnerFaultsWire struct {
	// Crash is one of crashNames: never, before, during or after.
	Crash             string   `json:"crash"`
	CrashCount        int      `json:"crashCount"`
	ReplyDelay        duration `json:"late"`
	Truncate          bool     `json:"truncate"`
	Leaving           bool     `json:"leaving"`
	Refuse            bool     `json:"refuse"`
	Fail              bool     `json:"fail"`
	RunOnStalledConns bool     `json:"silentRuns"`
}

// crashNames holds the names of the crash points, in the order of their values.
var crashNames = [...]string{"never", "before", "during", "after"}

func runnerFaultsToWire(f RunnerFaults) runnerFaultsWire {
	return runnerFaultsWire{crashNames[f.Crash], f.CrashCount, duration(f.ReplyDelay), f.Truncate, f.Leaving, f.Refuse, f.Fail, f.RunOnStalledConns}
}

func (w runnerFaultsWire) toRunnerFaults() (RunnerFaults, error) {
	crash := slices.Index(crashNames[:], w.Crash)
	if crash < 0 {
		return RunnerFaults{}, fmt.Errorf("crash %q is not one of never, before, during, after", w.Crash)
	}
	if w.CrashCount < 0 || w.ReplyDelay < 0 {
		return RunnerFaults{}, fmt.Errorf("crashCount %d or late %v is negative", w.CrashCount, time.Duration(w.ReplyDelay))
	}
	return RunnerFaults{CrashPoint(crash), w.CrashCount, time.Duration(w.ReplyDelay), w.Truncate, w.Leaving, w.Refuse, w.Fail, w.RunOnStalledConns}, nil
}

// runnerWire is the JSON form of a runner with its settings and counts.
type runnerWire struct {
	ID     string           `json:"id"`
	Addr   netip.AddrPort   `json:"addr"`
	Faults runnerFaultsWire `json:"faults"`
	Stats  runnerStatsWire  `json:"stats"`
}

// runnerStatsWire is the JSON form of RunnerStats.
type runnerStatsWire struct {
	Executed           int64 `json:"executed"`
	Refused            int64 `json:"refused"`
	ConnectionsRefused int64 `json:"connectionsRefused"`
	StalledRequests    int64 `json:"silenced"`
	PeakInFlight       int   `json:"peakInFlight"`
	PeakConnections    int   `json:"peakConnections"`
}

// executionWire is the JSON form of an Execution.
type executionWire struct {
	Runner         string    `json:"runner"`
	Start          time.Time `json:"start"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	IdempotencyKey string    `json:"idempotencyKey,omitempty"`
	Body           string    `json:"body,omitempty"`
	Leaving        bool      `json:"leaving,omitempty"`
}

// statsWire is the JSON form of Stats with the number of running attempts.
type statsWire struct {
	Reads            int64 `json:"reads"`
	RowsRead         int64 `json:"rowsRead"`
	Commits          int64 `json:"commits"`
	RowsWritten      int64 `json:"rowsWritten"`
	Throttled        int64 `json:"throttled"`
	LostReplies      int64 `json:"lostAnswers"`
	Exchanges        int64 `json:"exchanges"`
	Starts           int64 `json:"starts"`
	CapacityRefusals int64 `json:"capacityRefusals"`
	StaleCommands    int64 `json:"staleCommands"`
	KnownRefusals    int64 `json:"knownRefusals"`
	ExpiredLeases    int64 `json:"lapsedLeases"`
	Running          int   `json:"running"`
	Overlaps         int64 `json:"overlaps"`
}
