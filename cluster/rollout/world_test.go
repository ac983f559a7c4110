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

// world is a cell of daemons with the real transport, journal, notes, members
// and rollout, over a table and a network in memory.
type world struct {
	fatal    func(format string, args ...any)
	table    *table
	net      *memNet
	random   *rand.Rand
	strategy Strategy
	// racks is the number of racks that each daemon reports.
	racks int
	log   zerolog.Logger

	mu     sync.Mutex
	daemon map[string]*daemon
	// unreachable holds cut pairs of groups; a group is a region, a daemon or "store".
	cut map[[2]string]bool
	vms []platform.VM
	// withdrawn holds when the key of a secret was withdrawn.
	withdrawn  map[string]time.Time
	violations []string
	notes      int
}

// daemon is one process of the world.
type daemon struct {
	w         *world
	name      string
	region    string
	addr      netip.AddrPort
	store     *access
	paid      *paidlink.Counter
	members   *member.Table
	manager   *member.Manager
	transport *peer.Transport
	journal   *journal.Journal
	rollout   *Rollout
	applier   note.Applier
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu     sync.Mutex
	paused bool
	ended  bool
	queue  []func()
}

func newWorld(seed uint64, fatal func(string, ...any)) *world {
	w := &world{
		fatal: fatal, table: newTable(), random: rand.New(rand.NewPCG(seed, 2)), log: zerolog.Nop(),
		daemon: map[string]*daemon{}, cut: map[[2]string]bool{}, withdrawn: map[string]time.Time{},
	}
	w.net = &memNet{latency: w.latency, listeners: map[netip.AddrPort]*memListener{}}
	return w
}

func (w *world) byAddr(addr netip.AddrPort) *daemon {
	for _, d := range w.daemon {
		if d.addr == addr {
			return d
		}
	}
	return nil
}

func (w *world) latency(from, to netip.AddrPort) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, b := w.byAddr(from), w.byAddr(to)
	if a.isEnded() || b.isEnded() || a.isPaused() || b.isPaused() || w.severed(a.groups(), b.groups()) {
		return 0, false
	}
	if a.region != b.region {
		return farLatency, true
	}
	return nearLatency, true
}

func (d *daemon) groups() []string { return []string{d.region, d.name} }

func (w *world) severed(a, b []string) bool {
	for _, x := range a {
		for _, y := range b {
			if w.cut[[2]string{x, y}] || w.cut[[2]string{y, x}] {
				return true
			}
		}
	}
	return false
}

func (w *world) toStore(d *daemon) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.severed(d.groups(), []string{"store", storeRegion}) && d.region != storeRegion || w.severed(d.groups(), []string{"store"}) {
		return 0, false
	}
	if d.region != storeRegion {
		return farLatency, true
	}
	return nearLatency, true
}

func (w *world) setCut(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}] = cut
}

func (d *daemon) isEnded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// start adds a daemon; the name of each run is new.
func (w *world) start(name, region string) *daemon {
	w.mu.Lock()
	i := len(w.daemon) + 1
	d := &daemon{w: w, name: name, region: region, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)}
	w.daemon[name] = d
	w.vms = append(w.vms, platform.VM{ID: "vm-" + name, Role: platform.RoleEntry, Addr: d.addr})
	seed := w.random.Uint64()
	w.mu.Unlock()
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

func (d *daemon) build(random *rand.Rand) {
	id, place := cluster.DaemonID(d.name), cluster.Place{Region: cluster.Region(d.region)}
	var mu sync.Mutex
	float := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	log := d.w.log.With().Str("daemon", d.name).Logger()
	d.paid = paidlink.New(paidlink.Config{Self: place.Region})
	d.store = &access{table: d.w.table, latency: d.storeLatency, bytes: func(n int) { d.paid.Count(paidlink.CauseStore, storeRegion, n) }}
	d.members = member.NewTable(member.TableConfig{Self: id, Now: time.Now, LastHeard: func(id cluster.DaemonID) time.Time { return d.transport.LastHeard(id) }})
	d.manager = member.New(member.Config{
		Self: member.Member{ID: id, Place: place, PeerAddr: d.addr}, Store: d.store, VMs: d, Table: d.members, Random: float, Log: log,
	})
	d.journal = journal.New(journal.Config{Store: d.store, Writer: member.Writer(id, "note"), Log: log})
	d.rollout = New(Config{
		Self: id, Place: place, Store: d.store, Peers: d, Members: d.members, Random: float, Strategy: d.w.strategy, Log: log,
		Invariants: invariant.New(invariant.Config{Fail: d.w.violated}),
	})
	repository := note.New(note.Config{Store: d.store, Objects: d.store, Journal: d.journal, Member: d.manager.Check})
	d.applier = d.rollout.Guard(repository)
	d.transport = peer.New(peer.Config{
		Self: peer.Hello{From: id, Place: place, PeerAddr: d.addr}, Listener: d.w.net.listen(d.addr), PaidLink: d.paid, Random: float, Log: log,
		Dial:    func(ctx context.Context, to netip.AddrPort) (net.Conn, error) { return d.w.net.dial(ctx, d.addr, to) },
		Handler: func(from cluster.DaemonID, m peer.Message) { d.handle(func() { d.rollout.HandlePeer(from, m) }) },
		Digest: func() peer.Digest {
			g := peer.Digest{Racks: d.rackDigests()}
			d.rollout.FillDigest(&g)
			return g
		},
	})
}

// rackDigests changes every rack every second, as at the peak of task starts.
func (d *daemon) rackDigests() []peer.RackDigest {
	var racks []peer.RackDigest
	for i := range d.w.racks {
		use := cluster.Resources{CPU: cluster.CPU(time.Now().Unix() % 16000), Memory: cluster.Bytes(time.Now().Unix()%64) * cluster.GiB}
		racks = append(racks, peer.RackDigest{Rack: cluster.RackID(fmt.Sprintf("rack-%s-%02d", d.name, i)), Free: use, LargestFree: use, Pending: 10})
	}
	return racks
}

func (d *daemon) Send(to cluster.DaemonID, m peer.Message) bool { return d.transport.Send(to, m) }

func (d *daemon) storeLatency() (time.Duration, bool) {
	if d.isPaused() {
		return 0, false
	}
	return d.w.toStore(d)
}

// ListVMs returns the platform's list, which needs the same link as the store.
func (d *daemon) ListVMs(context.Context) ([]platform.VM, error) {
	if _, up := d.storeLatency(); !up {
		return nil, errDown
	}
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	return slices.Clone(d.w.vms), nil
}

func (d *daemon) isPaused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paused
}

// handle runs f, after the pause if the daemon is paused.
func (d *daemon) handle(f func()) {
	d.mu.Lock()
	if d.paused {
		d.queue = append(d.queue, f)
		d.mu.Unlock()
		return
	}
	d.mu.Unlock()
	f()
}

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
	d.rollout.work.Wait()
}

func (d *daemon) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = true
}

// resume handles what arrived during the pause.
func (d *daemon) resume() {
	d.mu.Lock()
	queue := d.queue
	d.paused, d.queue = false, nil
	d.mu.Unlock()
	for _, f := range queue {
		f()
	}
}

// kill ends the process without a word; listed says whether its VM stays in the platform's list.
func (d *daemon) kill(listed bool) {
	d.mu.Lock()
	ended := d.ended
	d.ended = true
	d.mu.Unlock()
	if !listed {
		d.w.mu.Lock()
		d.w.vms = slices.DeleteFunc(d.w.vms, func(vm platform.VM) bool { return vm.ID == "vm-"+d.name })
		d.w.mu.Unlock()
	}
	if ended {
		return
	}
	d.stop()
	d.transport.Close()
	d.journal.Close()
	d.rollout.Close()
	d.wg.Wait()
}

// leave ends the process in order.
func (d *daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d.rollout.Leave(ctx)
	time.Sleep(time.Second)
	d.journal.Close()
	_ = d.manager.Leave(ctx)
	d.kill(true)
}

func (w *world) close() {
	for _, d := range w.daemon {
		d.resume()
		d.kill(true)
	}
}

func (w *world) violated(message string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, message)
}

func hash(secret string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(secret))) }

const firstNote = `
summary: first configuration
add:
  teams:
    - {name: growers, share: 1, limit: {cpus: 100, memory: 100GiB}}
  queues:
    - {name: tills, team: growers}
    - {name: prices, open: true, team: growers}
`

// apply hands in a note at a daemon.
func (d *daemon) apply(ctx context.Context, id, text string) (note.Result, error) {
	n, err := note.Parse("note.yaml", []byte(text))
	if err != nil {
		return note.Result{}, err
	}
	return d.applier.Apply(ctx, note.Request{ID: id, Author: "operator", Note: n})
}

func keyNote(verb, name string) string {
	if verb == "withdraw" {
		return fmt.Sprintf("summary: withdraw a key\nwithdraw: {keys: [%s]}\n", name)
	}
	return fmt.Sprintf("summary: %s a key\n%s: {keys: [{name: %s, team: growers, hash: %s}]}\n", verb, verb, name, hash(name))
}

// watchWithdrawals records when keys are withdrawn; a key's secret is its name.
func (w *world) watchWithdrawals() {
	w.table.onCommit = func(txn platform.Txn) {
		for _, key := range txn.Deletes {
			if id, ok := note.ParseEntityKey(key); ok && id.Kind == cluster.KindKey {
				w.mu.Lock()
				w.withdrawn[id.Name] = time.Now()
				w.mu.Unlock()
			}
		}
	}
}

// check requires that no running daemon honours a key longer than withdrawnLimit after its withdrawal.
func (w *world) check() {
	w.mu.Lock()
	withdrawn := map[string]time.Time{}
	for secret, at := range w.withdrawn {
		withdrawn[secret] = at
	}
	daemons := make([]*daemon, 0, len(w.daemon))
	for _, d := range w.daemon {
		daemons = append(daemons, d)
	}
	violations := w.violations
	w.mu.Unlock()
	if len(violations) > 0 {
		w.fatal("%s", strings.Join(violations, "\n"))
	}
	for _, d := range daemons {
		if d.isEnded() || d.isPaused() {
			continue
		}
		for secret, at := range withdrawn {
			if _, err := d.rollout.Authorize(secret, "tills"); err == nil && time.Since(at) > withdrawnLimit {
				w.fatal("%s accepts key %s %s after its withdrawal", d.name, secret, time.Since(at))
			}
		}
	}
}

// pass lets time pass and checks all the while.
func (w *world) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(250*time.Millisecond, time.Until(end)))
		w.check()
	}
}
