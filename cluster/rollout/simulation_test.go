package rollout

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/member"
	"github.com/goldcrestshift/goldcrestshift/cluster/note"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

const (
	storeRegion = "north"
	farLatency  = 30 * time.Millisecond
	nearLatency = time.Millisecond
)

// simulation runs a cell of daemons with the real transport, journal, notes,
// members and rollout on an in-memory table service and network.
type simulation struct {
	fatal    func(format string, args ...any)
	table    *fakeTable
	net      *memNet
	random   *rand.Rand
	strategy Strategy
	// racks is the number of racks that each daemon reports.
	racks int
	log   zerolog.Logger

	mu      sync.Mutex
	daemons map[string]*daemon
	// unreachable holds the pairs of groups that can't reach each other; a group
	// is a region, a daemon or "store".
	unreachable map[[2]string]bool
	vms         []platform.VM
	// withdrawnAt holds when the key of a secret was withdrawn.
	withdrawnAt map[string]time.Time
	// violations holds the messages of violated invariants.
	violations []string
	// submittedNotes is the number of notes submitted by scripts.
	submittedNotes int
}

// daemon is one process of a simulation.
type daemon struct {
	sim       *simulation
	name      string
	region    string
	addr      netip.AddrPort
	store     *storeClient
	paid      *paidlink.Counter
	members   *member.Table
	manager   *member.Manager
	transport *peer.Transport
	journal   *journal.Journal
	rollout   *Rollout
	applier   note.Applier
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu      sync.Mutex
	paused  bool
	stopped bool
	// deferred holds the messages that arrived while the daemon was paused.
	deferred []func()
}

func newSimulation(seed uint64, fatal func(string, ...any)) *simulation {
	sim := &simulation{
		fatal: fatal, table: newFakeTable(), random: rand.New(rand.NewPCG(seed, 2)), log: zerolog.Nop(),
		daemons: map[string]*daemon{}, unreachable: map[[2]string]bool{}, withdrawnAt: map[string]time.Time{},
	}
	sim.net = &memNet{latency: sim.latency, listeners: map[netip.AddrPort]*memListener{}}
	return sim
}

// daemonAt returns the daemon with an address. It is called with mu held.
func (sim *simulation) daemonAt(addr netip.AddrPort) *daemon {
	for _, d := range sim.daemons {
		if d.addr == addr {
			return d
		}
	}
	return nil
}

// latency returns the latency between two addresses, or false if the second
// can't be reached from the first.
func (sim *simulation) latency(from, to netip.AddrPort) (time.Duration, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	source, destination := sim.daemonAt(from), sim.daemonAt(to)
	if source.isStopped() || destination.isStopped() || source.isPaused() || destination.isPaused() || sim.isUnreachable(source.groups(), destination.groups()) {
		return 0, false
	}
	if source.region != destination.region {
		return farLatency, true
	}
	return nearLatency, true
}

// groups returns the groups that the daemon belongs to.
func (d *daemon) groups() []string { return []string{d.region, d.name} }

// isUnreachable reports whether any group of a can't reach any group of b. It is
// called with mu held.
func (sim *simulation) isUnreachable(a, b []string) bool {
	for _, x := range a {
		for _, y := range b {
			if sim.unreachable[[2]string{x, y}] || sim.unreachable[[2]string{y, x}] {
				return true
			}
		}
	}
	return false
}

// storeLatency returns the latency between a daemon and the store, or false if
// the store can't be reached.
func (sim *simulation) storeLatency(d *daemon) (time.Duration, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.isUnreachable(d.groups(), []string{"store", storeRegion}) && d.region != storeRegion || sim.isUnreachable(d.groups(), []string{"store"}) {
		return 0, false
	}
	if d.region != storeRegion {
		return farLatency, true
	}
	return nearLatency, true
}

// setUnreachable interrupts or restores the link between two groups.
func (sim *simulation) setUnreachable(a, b string, unreachable bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.unreachable[[2]string{a, b}] = unreachable
}

func (d *daemon) isStopped() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopped
}

// start starts a new daemon; the name must not have been used before.
func (sim *simulation) start(name, region string) *daemon {
	sim.mu.Lock()
	i := len(sim.daemons) + 1
	d := &daemon{sim: sim, name: name, region: region, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)}
	sim.daemons[name] = d
	sim.vms = append(sim.vms, platform.VM{ID: "vm-" + name, Role: platform.RoleEntry, Addr: d.addr})
	seed := sim.random.Uint64()
	sim.mu.Unlock()
	d.build(rand.New(rand.NewPCG(seed, 3)))
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.run(ctx)
	}()
	return d
}

// build creates the components of the daemon.
func (d *daemon) build(random *rand.Rand) {
	id, place := cluster.DaemonID(d.name), cluster.Place{Region: cluster.Region(d.region)}
	var mu sync.Mutex
	randomFloat := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	log := d.sim.log.With().Str("daemon", d.name).Logger()
	d.paid = paidlink.New(paidlink.Config{Self: place.Region})
	d.store = &storeClient{fakeTable: d.sim.table, latency: d.storeLatency, countBytes: func(n int) { d.paid.Count(paidlink.CauseStore, storeRegion, n) }}
	d.members = member.NewTable(member.TableConfig{Self: id, Now: time.Now, LastSeen: func(id cluster.DaemonID) time.Time { return d.transport.LastSeen(id) }})
	d.manager = member.New(member.Config{
		Self: member.Member{ID: id, Place: place, PeerAddr: d.addr}, Store: d.store, VMs: d, Table: d.members, Random: randomFloat, Log: log,
	})
	d.journal = journal.New(journal.Config{Store: d.store, Writer: member.Writer(id, "note"), Log: log})
	d.rollout = New(Config{
		Self: id, Place: place, Store: d.store, Peers: d, Members: d.members, Random: randomFloat, Strategy: d.sim.strategy, Log: log,
		Invariants: invariant.New(invariant.Config{OnViolation: d.sim.recordViolation}),
	})
	repository := note.New(note.Config{Store: d.store, Objects: d.store, Journal: d.journal, MemberCheck: d.manager.Check})
	d.applier = d.rollout.Guard(repository)
	d.transport = peer.New(peer.Config{
		Self: peer.Hello{From: id, Place: place, PeerAddr: d.addr}, Listener: d.sim.net.listen(d.addr), PaidLink: d.paid, Random: randomFloat, Log: log,
		Dial:    func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return d.sim.net.dial(ctx, d.addr, to) },
		Handler: func(from cluster.DaemonID, m peer.Message) { d.runOrDefer(func() { d.rollout.HandlePeer(from, m) }) },
		Digest: func() peer.Digest {
			digest := peer.Digest{Racks: d.rackDigests()}
			d.rollout.FillDigest(&digest)
			return digest
		},
	})
}

// rackDigests returns digests that change every second, as at the peak of task starts.
func (d *daemon) rackDigests() []peer.RackDigest {
	var racks []peer.RackDigest
	for i := range d.sim.racks {
		free := cluster.Resources{CPU: cluster.CPU(time.Now().Unix() % 16000), Memory: cluster.Bytes(time.Now().Unix()%64) * cluster.GiB}
		racks = append(racks, peer.RackDigest{Rack: cluster.RackID(fmt.Sprintf("rack-%s-%02d", d.name, i)), Free: free, LargestFree: free, Pending: 10})
	}
	return racks
}

func (d *daemon) Send(to cluster.DaemonID, m peer.Message) bool { return d.transport.Send(to, m) }

func (d *daemon) storeLatency() (time.Duration, bool) {
	if d.isPaused() {
		return 0, false
	}
	return d.sim.storeLatency(d)
}

// ListVMs returns the platform's VM list. It requires the same link as the store.
func (d *daemon) ListVMs(context.Context) ([]platform.VM, error) {
	if _, up := d.storeLatency(); !up {
		return nil, errTableDown
	}
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	return slices.Clone(d.sim.vms), nil
}

func (d *daemon) isPaused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paused
}

// runOrDefer runs f at once, or after the pause if the daemon is paused.
func (d *daemon) runOrDefer(f func()) {
	d.mu.Lock()
	if d.paused {
		d.deferred = append(d.deferred, f)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	f()
}

// run joins the cell and runs the daemon until ctx ends.
func (d *daemon) run(ctx context.Context) {
	if d.manager.Join(ctx) != nil {
		return
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.manager.Run(ctx)
	}()
	for ctx.Err() == nil {
		if !d.isPaused() {
			d.rollout.tick(ctx)
			var peers []peer.Peer
			for _, m := range d.members.Members() {
				peers = append(peers, peer.Peer{ID: m.ID, Addr: m.PeerAddr, Place: m.Place})
			}
			d.transport.SetPeers(slices.DeleteFunc(peers, func(p peer.Peer) bool { return !p.Addr.IsValid() }))
		}
		select {
		case <-ctx.Done():
		case <-time.After(tickInterval):
		case <-d.rollout.wake:
		}
	}
	d.rollout.storeReads.Wait()
}

func (d *daemon) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = true
}

// resume ends the pause and handles the messages that arrived during it.
func (d *daemon) resume() {
	d.mu.Lock()
	deferred := d.deferred
	d.paused, d.deferred = false, nil
	d.mu.Unlock()
	for _, f := range deferred {
		f()
	}
}

// kill stops the process without notice to its peers. If keepVM is false, its VM
// is removed from the platform's VM list.
func (d *daemon) kill(keepVM bool) {
	d.mu.Lock()
	stopped := d.stopped
	d.stopped = true
	d.mu.Unlock()
	if !keepVM {
		d.sim.mu.Lock()
		d.sim.vms = slices.DeleteFunc(d.sim.vms, func(vm platform.VM) bool { return vm.ID == "vm-"+d.name })
		d.sim.mu.Unlock()
	}
	if stopped {
		return
	}
	d.stop()
	d.transport.Close()
	d.journal.Close()
	d.rollout.Close()
	d.wg.Wait()
}

// leave shuts the process down in an orderly way.
func (d *daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d.rollout.Leave(ctx)
	time.Sleep(time.Second)
	d.journal.Close()
	_ = d.manager.Leave(ctx)
	d.kill(true)
}

func (sim *simulation) close() {
	for _, d := range sim.daemons {
		d.resume()
		d.kill(true)
	}
}

// recordViolation records a violated invariant; checkWithdrawals reports it.
func (sim *simulation) recordViolation(message string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, message)
}

func hexHash(secret string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(secret))) }

const firstNote = `
summary: first configuration
add:
  teams:
    - {name: growers, share: 1, limit: {cpus: 100, memory: 100GiB}}
  queues:
    - {name: tills, team: growers}
    - {name: prices, open: true, team: growers}
`

// submitNote submits a note to the daemon.
func (d *daemon) submitNote(ctx context.Context, id, text string) (note.Result, error) {
	n, err := note.Parse("note.yaml", []byte(text))
	if err != nil {
		return note.Result{}, err
	}
	return d.applier.Apply(ctx, note.Request{ID: id, Author: "operator", Note: n})
}

// keyNote returns a note that adds, changes or withdraws a key; the key's name
// is its secret.
func keyNote(verb, name string) string {
	if verb == "withdraw" {
		return fmt.Sprintf("summary: withdraw a key\nwithdraw: {keys: [%s]}\n", name)
	}
	return fmt.Sprintf("summary: %s a key\n%s: {keys: [{name: %s, team: growers, hash: %s}]}\n", verb, verb, name, hexHash(name))
}

// watchWithdrawals records when keys are withdrawn, for checkWithdrawals.
func (sim *simulation) watchWithdrawals() {
	sim.table.onCommit = func(txn platform.Txn) {
		for _, key := range txn.Deletes {
			if id, ok := note.ParseEntityKey(key); ok && id.Kind == cluster.KindKey {
				sim.mu.Lock()
				sim.withdrawnAt[id.Name] = time.Now()
				sim.mu.Unlock()
			}
		}
	}
}

// checkWithdrawals fails the test if a running daemon honours a key longer than
// maxWithdrawalDelay after its withdrawal, or if an invariant was violated.
func (sim *simulation) checkWithdrawals() {
	sim.mu.Lock()
	withdrawnAt := map[string]time.Time{}
	for secret, at := range sim.withdrawnAt {
		withdrawnAt[secret] = at
	}
	daemons := make([]*daemon, 0, len(sim.daemons))
	for _, d := range sim.daemons {
		daemons = append(daemons, d)
	}
	violations := sim.violations
	sim.mu.Unlock()
	if len(violations) > 0 {
		sim.fatal("%s", strings.Join(violations, "\n"))
	}
	for _, d := range daemons {
		if d.isStopped() || d.isPaused() {
			continue
		}
		for secret, at := range withdrawnAt {
			if _, err := d.rollout.Authorize(secret, "tills"); err == nil && time.Since(at) > maxWithdrawalDelay {
				sim.fatal("%s honours key %s %s after its withdrawal", d.name, secret, time.Since(at))
			}
		}
	}
}

// advance lets virtual time pass and calls checkWithdrawals every 250 ms.
func (sim *simulation) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(250*time.Millisecond, time.Until(end)))
		sim.checkWithdrawals()
	}
}
