package standin

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// vmChange is a change of the actual VMs. A zero changedAt is published without lag.
type vmChange struct {
	changedAt time.Time
	vm        platform.VM
	removed   bool
}

// vmList holds the actual VMs and the published list, which follows them with a
// lag; it isn't safe for concurrent use.
type vmList struct {
	actual map[string]platform.VM
	// pending holds the changes that are not published yet, oldest first.
	pending   []vmChange
	published map[string]publishedVM
	// version is the number of the last published change; it starts at baseVersion.
	version     uint64
	baseVersion uint64
}

// publishedVM is an entry of the published list. Entries of removed VMs are kept
// for callers that request changes since a version.
type publishedVM struct {
	vm      platform.VM
	version uint64
	removed bool
}

func newVMList(baseVersion uint64) vmList {
	return vmList{actual: map[string]platform.VM{}, published: map[string]publishedVM{}, version: baseVersion, baseVersion: baseVersion}
}

// put adds a VM or replaces its entry.
func (l *vmList) put(vm platform.VM, at time.Time) {
	l.actual[vm.ID] = vm
	l.pending = append(l.pending, vmChange{changedAt: at, vm: vm})
}

// remove removes a VM if it exists.
func (l *vmList) remove(id string, at time.Time) {
	vm, ok := l.actual[id]
	if !ok {
		return
	}
	delete(l.actual, id)
	l.pending = append(l.pending, vmChange{changedAt: at, vm: vm, removed: true})
}

// publishDue publishes the changes that are at least as old as the lag.
func (l *vmList) publishDue(now time.Time, lag time.Duration) {
	for len(l.pending) > 0 {
		change := l.pending[0]
		if !change.changedAt.IsZero() && change.changedAt.Add(lag).After(now) {
			return
		}
		l.pending = l.pending[1:]
		l.version++
		l.published[change.vm.ID] = publishedVM{vm: change.vm, version: l.version, removed: change.removed}
	}
}

// delta returns the published VMs whose entry changed after a version and the IDs
// of the VMs removed after it; for version zero it returns all published VMs.
func (l *vmList) delta(since uint64) (vms []platform.VM, removed []string) {
	for _, e := range l.published {
		switch {
		case e.version <= since:
		case !e.removed:
			vms = append(vms, e.vm)
		case since > 0:
			removed = append(removed, e.vm.ID)
		}
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	slices.Sort(removed)
	return vms, removed
}

// ListVMs returns the published list of VMs.
func (c *Caller) ListVMs(ctx context.Context) ([]platform.VM, error) {
	delta, err := c.ListVMsSince(ctx, 0)
	return delta.VMs, err
}

// ListVMsSince returns the changes of the published list since a version; zero
// requests the whole list.
func (c *Caller) ListVMsSince(ctx context.Context, since uint64) (platform.VMDelta, error) {
	const op = "list VMs"
	f := c.p.Faults()
	if f.partitioned(c.place.Region, c.p.cfg.Cell.StoreRegion) {
		return platform.VMDelta{}, unavailableError(op, errPartitioned)
	}
	if err := c.waitLatency(ctx, c.p.storePlace()); err != nil {
		return platform.VMDelta{}, unavailableError(op, err)
	}
	if f.VMListDown {
		return platform.VMDelta{}, unavailableError(op, errDown)
	}
	delta := c.p.listVMs(since, f.VMListLag)
	return delta, c.endStoreCall(ctx, op, platform.KindUnavailable)
}

// listVMs publishes the changes that are due and returns the changes since a
// version, or the whole list if the version is from another run of the platform.
func (p *Platform) listVMs(since uint64, lag time.Duration) platform.VMDelta {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmList.publishDue(p.cfg.Clock(), lag)
	if since > p.vmList.version || since < p.vmList.baseVersion {
		since = 0
	}
	vms, removed := p.vmList.delta(since)
	return platform.VMDelta{Version: p.vmList.version, Full: since == 0, VMs: vms, Removed: removed}
}

// AddVM adds a VM, or changes the entry of an existing one. A new worker runs no tasks.
func (p *Platform) AddVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addVM(vm, p.cfg.Clock())
}

// addVMWithoutLag adds a VM or changes its entry; the change is published without lag.
func (p *Platform) addVMWithoutLag(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addVM(vm, time.Time{})
}

// addVM adds a VM or changes its entry at a time; the zero time publishes the
// change without lag.
func (p *Platform) addVM(vm platform.VM, at time.Time) {
	p.vmList.put(vm, at)
	if vm.Role != platform.RoleWorker {
		return
	}
	if w, ok := p.workers[cluster.WorkerID(vm.ID)]; ok {
		w.vm = vm
		w.markChanged()
		return
	}
	r := p.racks[vm.Rack]
	if r == nil {
		r = &rack{id: vm.Rack, place: vm.Place, sequence: p.baseCursor, baseSequence: p.baseCursor}
		p.racks[vm.Rack] = r
	}
	w := newWorker(p, r, vm)
	r.workers = append(r.workers, w)
	p.workers[w.id] = w
	p.orderedWorkers = append(p.orderedWorkers, w)
	w.markChanged()
}

// AddEntry adds an entry VM with the address of its peer port.
func (p *Platform) AddEntry(id string, place cluster.Place, addr netip.AddrPort) {
	p.AddVM(platform.VM{ID: id, Role: platform.RoleEntry, Place: place, Addr: addr})
}

// SetLeaving sets whether a VM will be removed soon; it returns false if there is no such VM.
func (p *Platform) SetLeaving(id string, leaving bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, ok := p.vmList.actual[id]
	if !ok {
		return false
	}
	vm.Leaving = leaving
	p.vmList.put(vm, p.cfg.Clock())
	return true
}

// RemoveVM removes a VM and ends the tasks of a worker; it returns false if there is no such VM.
func (p *Platform) RemoveVM(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.vmList.actual[id]; !ok {
		return false
	}
	now := p.cfg.Clock()
	p.vmList.remove(id, now)
	if w, ok := p.workers[cluster.WorkerID(id)]; ok {
		w.setFaults(WorkerFaults{Dead: true}, now)
	}
	return true
}

// VMs returns the actual VMs, sorted by ID.
func (p *Platform) VMs() []platform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]platform.VM, 0, len(p.vmList.actual))
	for _, vm := range p.vmList.actual {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
