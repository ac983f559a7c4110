package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Intervals and limits of a Manager.
const (
	// listInterval is the time between reads of the platform's VM list.
	listInterval = 10 * time.Second
	// sweepInterval is the time between searches for orphaned writer rows.
	sweepInterval = time.Minute
	// pauseInterval is the time between observations of the clock. A gap longer
	// than pauseThreshold is logged as a pause of this process.
	pauseInterval  = time.Second
	pauseThreshold = 2 * time.Second
	// maxRowsPerSweep limits the rows that one sweep deletes; the next sweep
	// continues with the rest.
	maxRowsPerSweep = 200
	// retryMinDelay and retryMaxDelay bound the exponential delay between
	// retries of Join and Leave.
	retryMinDelay = 100 * time.Millisecond
	retryMaxDelay = 5 * time.Second
	// callTimeout limits one call of the table service or the platform.
	callTimeout = 3 * time.Second
	// missingListsThreshold is the number of consecutive VM lists without a
	// member's VM after which the member is removed. It is more than one because
	// a single list may be incomplete.
	missingListsThreshold = 2
)

// Config configures a Manager.
type Config struct {
	// Self describes this process.
	Self  Member
	Store platform.TableService
	// VMs may be nil; members are then removed only after they announced that
	// they leave.
	VMs   platform.VMLister
	Table *Table
	// Now is the clock for detecting pauses of this process; nil means time.Now.
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
	// Random returns a number in [0, 1) for the jitter of retries; nil means that it always returns 0.5.
	Random func() float64
}

// Manager maintains the member row of this process and deletes the rows of
// members that have left or whose VM no longer exists.
type Manager struct {
	cfg Config
	// missingCounts holds how many consecutive VM lists lacked a member's VM.
	missingCounts map[cluster.DaemonID]int
	pauseDetector *PauseDetector

	mu   sync.Mutex
	self Member
}

// New returns a Manager. It does nothing until Join and Run are called.
func New(cfg Config) *Manager {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Random == nil {
		cfg.Random = func() float64 { return 0.5 }
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Manager{cfg: cfg, self: cfg.Self, missingCounts: map[cluster.DaemonID]int{}, pauseDetector: NewPauseDetector(pauseThreshold)}
}

// Self returns the member that describes this process, with the version of its row.
func (m *Manager) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Check returns a transaction check that succeeds only while the member row of
// this process exists. It is part of every transaction that only a member may
// commit.
func (m *Manager) Check() platform.Check {
	self := m.Self()
	return platform.Check{Key: Key(self.ID), Version: self.Version}
}

func (m *Manager) setSelf(self Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self = self
}

// Join writes the member row; it retries until it succeeds or ctx ends. The
// peer transport must not introduce this process to other daemons before Join
// returns. The listener on the peer address must already be open: Join deletes
// the rows of earlier processes with the same address, which must have stopped
// because the address was free.
func (m *Manager) Join(ctx context.Context) error {
	err := m.retry(ctx, func(ctx context.Context) error {
		reply, err := m.cfg.Store.Read(ctx, platform.ReadRequest{Prefixes: []string{Prefix}})
		if err != nil {
			return err
		}
		if m.adoptOwnRow(reply.Rows) {
			return nil
		}
		return m.createRow(ctx, reply.Rows)
	})
	if err != nil {
		return &Error{Op: "join", Kind: KindStore, Err: err}
	}
	m.cfg.Log.Info().Str("member", string(m.cfg.Self.ID)).Msg("member: joined the cell")
	return nil
}

// adoptOwnRow sets the version of the member row if an earlier attempt wrote the
// row, and reports whether one did.
func (m *Manager) adoptOwnRow(rows []platform.Row) bool {
	for _, row := range rows {
		if row.Key == Key(m.cfg.Self.ID) && !row.Deleted {
			self := m.Self()
			self.Version = row.Version
			m.setSelf(self)
			return true
		}
	}
	return false
}

// createRow writes the member row and deletes the rows of earlier processes
// with the same peer address in one transaction.
func (m *Manager) createRow(ctx context.Context, rows []platform.Row) error {
	self := m.Self()
	value, err := encodeRow(self)
	if err != nil {
		return err
	}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: Key(self.ID)}},
		Puts:   []platform.Put{{Key: Key(self.ID), Value: value}},
	}
	for _, row := range rows {
		earlier, err := DecodeRow(row)
		if err == nil && !row.Deleted && self.PeerAddr.IsValid() && earlier.PeerAddr == self.PeerAddr {
			m.cfg.Log.Info().Str("member", string(earlier.ID)).Msg("member: replacing the row of an earlier process with the same address")
			txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	self.Version, err = m.cfg.Store.Commit(ctx, txn)
	if err == nil {
		m.setSelf(self)
	}
	return err
}

// Leave deletes the member row and the writer rows of this process; it retries
// until it succeeds or ctx ends. The journals of this process must be closed
// before the call.
func (m *Manager) Leave(ctx context.Context) error {
	err := m.retry(ctx, func(ctx context.Context) error { return m.deleteRows(ctx, m.cfg.Self.ID) })
	if err != nil {
		return &Error{Op: "leave", Kind: KindStore, Err: err}
	}
	m.cfg.Log.Info().Str("member", string(m.cfg.Self.ID)).Msg("member: left the cell")
	return nil
}

// deleteRows deletes the member row and the writer rows of a member. It is not an
// error if they are already missing.
func (m *Manager) deleteRows(ctx context.Context, id cluster.DaemonID) error {
	reply, err := m.cfg.Store.Read(ctx, platform.ReadRequest{Keys: []string{Key(id)}, Prefixes: []string{writerRowPrefix + string(id)}})
	if err != nil {
		return err
	}
	var txn platform.Txn
	for _, row := range reply.Rows {
		if !row.Deleted && (row.Key == Key(id) || writerRowDaemon(row.Key) == id) {
			txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	m.cfg.Metrics.Counter("member_rows_removed").Inc(int64(len(txn.Deletes)))
	_, err = m.cfg.Store.Commit(ctx, txn)
	return err
}

// retry calls f until it succeeds or ctx ends. f must read the current rows
// before it writes, so that a conflict or a lost reply is resolved by the next
// call.
func (m *Manager) retry(ctx context.Context, f func(context.Context) error) error {
	delay := retryMinDelay
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		m.cfg.Log.Warn().Err(err).Msg("member: table service call failed; retrying")
		if !sleep(ctx, time.Duration(float64(delay)*(0.5+m.cfg.Random()/2))) {
			return err
		}
		delay = min(2*delay, retryMaxDelay)
	}
}

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Run reads the platform's VM list and deletes the rows of departed members
// until ctx ends. Only the live member with the lowest identifier deletes rows,
// so that the store is read once for the whole cell.
func (m *Manager) Run(ctx context.Context) {
	sinceLastList, sinceLastSweep := time.Duration(0), time.Duration(0)
	for sleep(ctx, pauseInterval) {
		if gap := m.pauseDetector.Observe(m.cfg.Now()); gap > 0 {
			m.cfg.Metrics.Counter("member_pauses").Inc(1)
			m.cfg.Log.Warn().Dur("gap", gap).Msg("member: this process was paused")
		}
		if sinceLastList += pauseInterval; sinceLastList < listInterval {
			continue
		}
		sinceLastList = 0
		if !m.removeDepartedMembers(ctx) {
			continue
		}
		if sinceLastSweep += listInterval; sinceLastSweep >= sweepInterval {
			sinceLastSweep = 0
			m.sweepOrphanedRows(ctx)
		}
	}
}

// removeDepartedMembers deletes the rows of members that have left or whose VM
// is missing from the VM list, if this process is responsible for that. It
// reports whether it is.
func (m *Manager) removeDepartedMembers(ctx context.Context) bool {
	isLowest := m.isLowestLive()
	if m.cfg.VMs != nil && (isLowest || m.Self().VM == "") {
		m.checkVMList(ctx, isLowest)
	}
	if !isLowest {
		clear(m.missingCounts)
		return false
	}
	for _, leaving := range m.cfg.Table.Leaving() {
		m.removeMember(ctx, leaving.ID, "it announced that it leaves")
	}
	return true
}

// isLowestLive reports whether this process is the live member with the lowest
// identifier, which deletes rows on behalf of the cell.
func (m *Manager) isLowestLive() bool {
	live := m.cfg.Table.Live()
	return len(live) > 0 && live[0].ID == m.cfg.Self.ID
}

// checkVMList reads the VM list, records the VM of this process if that is
// still unknown and, if isLowest is set, removes members whose VM is missing.
func (m *Manager) checkVMList(ctx context.Context, isLowest bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	vms, err := m.cfg.VMs.ListVMs(callCtx)
	cancel()
	if err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: failed to read the VM list")
		return
	}
	self := m.Self()
	if self.VM == "" {
		m.recordVM(ctx, self, vms)
	}
	if !isLowest {
		return
	}
	for _, id := range m.membersWithoutVM(m.Self(), vms) {
		m.removeMember(ctx, id, "its VM is no longer in the VM list")
	}
}

// recordVM writes the identifier of this process's VM into its member row once
// the VM appears in the VM list.
func (m *Manager) recordVM(ctx context.Context, self Member, vms []platform.VM) {
	i := slices.IndexFunc(vms, func(vm platform.VM) bool { return vm.Role == platform.RoleEntry && vm.Addr == self.PeerAddr })
	if i < 0 || self.Version == 0 {
		return
	}
	changed := self
	changed.VM = vms[i].ID
	value, err := encodeRow(changed)
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changed.Version, err = m.cfg.Store.Commit(callCtx, platform.Txn{
		Checks: []platform.Check{{Key: Key(self.ID), Version: self.Version}},
		Puts:   []platform.Put{{Key: Key(self.ID), Value: value}},
	})
	if err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: failed to record the VM of this process")
		m.reloadSelf(ctx)
		return
	}
	m.setSelf(changed)
}

// reloadSelf reads the member row of this process again after a failed write,
// which may have been applied.
func (m *Manager) reloadSelf(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := m.cfg.Store.Read(callCtx, platform.ReadRequest{Keys: []string{Key(m.cfg.Self.ID)}})
	if err != nil || len(reply.Rows) != 1 || reply.Rows[0].Deleted {
		return
	}
	if self, err := DecodeRow(reply.Rows[0]); err == nil {
		m.setSelf(self)
	}
}

// membersWithoutVM returns the members whose recorded VM was missing from
// missingListsThreshold consecutive VM lists. A list without the VM of this
// process is considered wrong and ignored.
func (m *Manager) membersWithoutVM(self Member, vms []platform.VM) []cluster.DaemonID {
	listedVMs := map[string]bool{}
	for _, vm := range vms {
		listedVMs[vm.ID] = true
	}
	if self.VM == "" || !listedVMs[self.VM] {
		return nil
	}
	var removed []cluster.DaemonID
	missingCounts := map[cluster.DaemonID]int{}
	for _, other := range m.cfg.Table.Members() {
		if other.VM == "" || listedVMs[other.VM] {
			continue
		}
		missingCounts[other.ID] = m.missingCounts[other.ID] + 1
		if missingCounts[other.ID] >= missingListsThreshold {
			removed = append(removed, other.ID)
		}
	}
	m.missingCounts = missingCounts
	return removed
}

// removeMember deletes the rows of a member; a failure is logged and retried
// with the next VM list.
func (m *Manager) removeMember(ctx context.Context, id cluster.DaemonID, reason string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.deleteRows(callCtx, id); err != nil {
		m.cfg.Log.Warn().Err(err).Str("member", string(id)).Msg("member: failed to delete the rows of a member")
		return
	}
	m.cfg.Log.Info().Str("member", string(id)).Msg("member: deleted the rows of a member: " + reason)
}

// sweepOrphanedRows deletes the writer rows of daemons without a member row. They
// remain if a daemon crashes while it joins or leaves.
func (m *Manager) sweepOrphanedRows(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := m.cfg.Store.Read(callCtx, platform.ReadRequest{Prefixes: []string{Prefix, writerRowPrefix}})
	if err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: failed to read rows for the sweep of orphaned rows")
		return
	}
	members := map[cluster.DaemonID]bool{}
	var txn platform.Txn
	for _, row := range reply.Rows {
		switch {
		case row.Deleted:
		case len(row.Key) > len(Prefix) && row.Key[:len(Prefix)] == Prefix:
			members[cluster.DaemonID(row.Key[len(Prefix):])] = true
		case !members[writerRowDaemon(row.Key)] && len(txn.Deletes) < maxRowsPerSweep:
			txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version}, platform.Check{Key: Key(writerRowDaemon(row.Key))})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) == 0 {
		return
	}
	if _, err := m.cfg.Store.Commit(callCtx, txn); err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: failed to delete orphaned rows")
		return
	}
	m.cfg.Metrics.Counter("member_rows_removed").Inc(int64(len(txn.Deletes)))
}
