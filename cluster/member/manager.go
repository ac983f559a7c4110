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

// Times of a Manager.
const (
	// listInterval is the time between reads of the platform's VM list.
	listInterval = 10 * time.Second
	// sweepInterval is the time between searches for rows left behind.
	sweepInterval = time.Minute
	// pauseInterval is the time between observations of the clock, and a longer
	// gap than pauseLimit is logged as a pause.
	pauseInterval = time.Second
	pauseLimit    = 2 * time.Second
	// maxSweep bounds the rows that one sweep deletes; the next one goes on.
	maxSweep    = 200
	retryFirst  = 100 * time.Millisecond
	retryMax    = 5 * time.Second
	callTimeout = 3 * time.Second
	// missingLists is the number of lists in a row without a VM after which it
	// is gone; one list may be incomplete.
	missingLists = 2
)

// Config configures a Manager.
type Config struct {
	// Self is the member that this process is.
	Self  Member
	Store platform.TableService
	// VMs may be nil; members are then gone only when they said so.
	VMs   platform.VMLister
	Table *Table
	// Now is the clock that pauses of this process are measured with; nil means time.Now.
	Now     func() time.Time
	Log     zerolog.Logger
	Metrics tally.Scope
	// Random returns a number in [0, 1) for the jitter of retries.
	Random func() float64
}

// Manager writes the member row of this process and removes the rows of members that are gone.
type Manager struct {
	cfg     Config
	missing map[cluster.DaemonID]int
	pauses  *PauseWatch

	mu   sync.Mutex
	self Member
}

// New returns a manager.
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
	return &Manager{cfg: cfg, self: cfg.Self, missing: map[cluster.DaemonID]int{}, pauses: NewPauseWatch(pauseLimit)}
}

// Self returns the member that this process is, with the version of its row.
func (m *Manager) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Check returns the check that holds as long as nobody has removed this process
// from the cell. Transactions that only a member may commit include it.
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
// peer transport must not introduce this process to others before. The listener
// on the peer address must be open: rows of earlier processes with the same
// address are deleted, as their holder must have ended for it to be free.
func (m *Manager) Join(ctx context.Context) error {
	err := m.retry(ctx, func(ctx context.Context) error {
		reply, err := m.cfg.Store.Read(ctx, platform.ReadRequest{Prefixes: []string{Prefix}})
		if err != nil {
			return err
		}
		if m.joined(reply.Rows) {
			return nil
		}
		return m.writeFirst(ctx, reply.Rows)
	})
	if err != nil {
		return &Error{Op: "join", Kind: KindStore, Err: err}
	}
	m.cfg.Log.Info().Str("member", string(m.cfg.Self.ID)).Msg("member: joined")
	return nil
}

// joined takes over the version of the own row if an earlier try wrote it.
func (m *Manager) joined(rows []platform.Row) bool {
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

func (m *Manager) writeFirst(ctx context.Context, rows []platform.Row) error {
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
		old, err := DecodeRow(row)
		if err == nil && !row.Deleted && self.PeerAddr.IsValid() && old.PeerAddr == self.PeerAddr {
			m.cfg.Log.Info().Str("member", string(old.ID)).Msg("member: replaces an earlier process with the same address")
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

// Leave deletes the member row and the txn rows of this process; it retries
// until it succeeds or ctx ends. The journals must be closed before.
func (m *Manager) Leave(ctx context.Context) error {
	err := m.retry(ctx, func(ctx context.Context) error { return m.remove(ctx, m.cfg.Self.ID) })
	if err != nil {
		return &Error{Op: "leave", Kind: KindStore, Err: err}
	}
	m.cfg.Log.Info().Str("member", string(m.cfg.Self.ID)).Msg("member: left")
	return nil
}

// remove deletes the rows of a member. A missing row is no error.
func (m *Manager) remove(ctx context.Context, id cluster.DaemonID) error {
	reply, err := m.cfg.Store.Read(ctx, platform.ReadRequest{Keys: []string{Key(id)}, Prefixes: []string{txnPrefix + string(id)}})
	if err != nil {
		return err
	}
	var txn platform.Txn
	for _, row := range reply.Rows {
		if !row.Deleted && (row.Key == Key(id) || writerOf(row.Key) == id) {
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

// retry calls f until it succeeds or ctx ends. A lost answer or a conflict is
// resolved by the next call, which reads first.
func (m *Manager) retry(ctx context.Context, f func(context.Context) error) error {
	delay := retryFirst
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := f(callCtx)
		cancel()
		if err == nil {
			return nil
		}
		m.cfg.Log.Warn().Err(err).Msg("member: table service failed; retrying")
		if !sleep(ctx, time.Duration(float64(delay)*(0.5+m.cfg.Random()/2))) {
			return err
		}
		delay = min(2*delay, retryMax)
	}
}

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

// Run watches the platform's VM list and removes the rows of members that are
// gone, until ctx ends. Only the live member with the lowest identifier removes
// rows, so that the store is read once for the whole cell.
func (m *Manager) Run(ctx context.Context) {
	sinceList, sinceSweep := time.Duration(0), time.Duration(0)
	for sleep(ctx, pauseInterval) {
		if gap := m.pauses.Observe(m.cfg.Now()); gap > 0 {
			m.cfg.Metrics.Counter("member_pauses").Inc(1)
			m.cfg.Log.Warn().Dur("gap", gap).Msg("member: this process was paused")
		}
		if sinceList += pauseInterval; sinceList < listInterval {
			continue
		}
		sinceList = 0
		if !m.checkMembers(ctx) {
			continue
		}
		if sinceSweep += listInterval; sinceSweep >= sweepInterval {
			sinceSweep = 0
			m.sweep(ctx)
		}
	}
}

// checkMembers reports whether this process is the one that removes rows.
func (m *Manager) checkMembers(ctx context.Context) bool {
	first := m.first()
	if m.cfg.VMs != nil && (first || m.Self().VM == "") {
		m.checkList(ctx, first)
	}
	if !first {
		clear(m.missing)
		return false
	}
	for _, left := range m.cfg.Table.Left() {
		m.removeGone(ctx, left.ID, "it said that it leaves")
	}
	return true
}

func (m *Manager) first() bool {
	live := m.cfg.Table.Live()
	return len(live) > 0 && live[0].ID == m.cfg.Self.ID
}

func (m *Manager) checkList(ctx context.Context, first bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	vms, err := m.cfg.VMs.ListVMs(callCtx)
	cancel()
	if err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: VM list not read")
		return
	}
	self := m.Self()
	if self.VM == "" {
		m.recordVM(ctx, self, vms)
	}
	if !first {
		return
	}
	for _, id := range m.gone(m.Self(), vms) {
		m.removeGone(ctx, id, "its VM is no longer listed")
	}
}

// recordVM writes the identifier of this process's VM into its row once the VM is listed.
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
		m.cfg.Log.Warn().Err(err).Msg("member: VM not recorded")
		m.reload(ctx)
		return
	}
	m.setSelf(changed)
}

// reload takes over the own row after a write with a lost answer.
func (m *Manager) reload(ctx context.Context) {
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

// gone returns the members whose VM had appeared in the list and no longer
// does. A list without this process's own VM is not used.
func (m *Manager) gone(self Member, vms []platform.VM) []cluster.DaemonID {
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	if self.VM == "" || !listed[self.VM] {
		return nil
	}
	var gone []cluster.DaemonID
	missing := map[cluster.DaemonID]int{}
	for _, other := range m.cfg.Table.Members() {
		if other.VM == "" || listed[other.VM] {
			continue
		}
		missing[other.ID] = m.missing[other.ID] + 1
		if missing[other.ID] >= missingLists {
			gone = append(gone, other.ID)
		}
	}
	m.missing = missing
	return gone
}

func (m *Manager) removeGone(ctx context.Context, id cluster.DaemonID, reason string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.remove(callCtx, id); err != nil {
		m.cfg.Log.Warn().Err(err).Str("member", string(id)).Msg("member: rows not removed")
		return
	}
	m.cfg.Log.Info().Str("member", string(id)).Msg("member: removed the rows of a member: " + reason)
}

// sweep deletes txn rows of daemons without a member row, which a member that
// died in the middle of joining or leaving can leave behind.
func (m *Manager) sweep(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := m.cfg.Store.Read(callCtx, platform.ReadRequest{Prefixes: []string{Prefix, txnPrefix}})
	if err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: sweep failed")
		return
	}
	members := map[cluster.DaemonID]bool{}
	var txn platform.Txn
	for _, row := range reply.Rows {
		switch {
		case row.Deleted:
		case len(row.Key) > len(Prefix) && row.Key[:len(Prefix)] == Prefix:
			members[cluster.DaemonID(row.Key[len(Prefix):])] = true
		case !members[writerOf(row.Key)] && len(txn.Deletes) < maxSweep:
			txn.Checks = append(txn.Checks, platform.Check{Key: row.Key, Version: row.Version}, platform.Check{Key: Key(writerOf(row.Key))})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) == 0 {
		return
	}
	if _, err := m.cfg.Store.Commit(callCtx, txn); err != nil {
		m.cfg.Log.Warn().Err(err).Msg("member: sweep failed")
		return
	}
	m.cfg.Metrics.Counter("member_rows_removed").Inc(int64(len(txn.Deletes)))
}
