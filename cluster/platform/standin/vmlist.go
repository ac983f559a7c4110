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

// vmEvent is a change of the true list of VMs.
type vmEvent struct {
	at      time.Time
	vm      platform.VM
	removed bool
}

// vmList follows the true list with a lag; it isn't safe for concurrent use.
type vmList struct {
	truth   map[string]platform.VM
	pending []vmEvent
	listed  map[string]listedVM
	// version counts the listed changes, from base.
	version uint64
	base    uint64
}

// listedVM is a VM as the list shows it; removed ones are kept for readers of deltas.
type listedVM struct {
	vm      platform.VM
	version uint64
	removed bool
}

func newVMList(base uint64) vmList {
	return vmList{truth: map[string]platform.VM{}, listed: map[string]listedVM{}, version: base, base: base}
}

func (l *vmList) set(vm platform.VM, at time.Time) {
	l.truth[vm.ID] = vm
	l.pending = append(l.pending, vmEvent{at: at, vm: vm})
}

func (l *vmList) remove(id string, at time.Time) {
	vm, ok := l.truth[id]
	if !ok {
		return
	}
	delete(l.truth, id)
	l.pending = append(l.pending, vmEvent{at: at, vm: vm, removed: true})
}

// advance lists the changes that are at least as old as the lag.
func (l *vmList) advance(now time.Time, lag time.Duration) {
	for len(l.pending) > 0 {
		e := l.pending[0]
		if !e.at.IsZero() && e.at.Add(lag).After(now) {
			return
		}
		l.pending = l.pending[1:]
		l.version++
		l.listed[e.vm.ID] = listedVM{vm: e.vm, version: l.version, removed: e.removed}
	}
}

// delta returns the VMs whose entry changed after a version; for version zero all that are listed.
func (l *vmList) delta(since uint64) (vms []platform.VM, removed []string) {
	for _, e := range l.listed {
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

// ListVMs returns the VMs as they were one lag ago.
func (c *Caller) ListVMs(ctx context.Context) ([]platform.VM, error) {
	delta, err := c.ListVMsSince(ctx, 0)
	return delta.VMs, err
}

// ListVMsSince returns the changes of the list since a version; zero asks for the whole list.
func (c *Caller) ListVMsSince(ctx context.Context, since uint64) (platform.VMDelta, error) {
	const op = "list VMs"
	f := c.p.Faults()
	if f.cut(c.place.Region, c.p.cfg.Cell.StoreRegion) {
		return platform.VMDelta{}, unavailable(op, errCut)
	}
	if err := c.travel(ctx, c.p.storePlace()); err != nil {
		return platform.VMDelta{}, unavailable(op, err)
	}
	if f.VMListDown {
		return platform.VMDelta{}, unavailable(op, errDown)
	}
	delta := c.p.listVMs(since, f.VMListLag)
	return delta, c.leaveStore(ctx, op, platform.KindUnavailable)
}

func (p *Platform) listVMs(since uint64, lag time.Duration) platform.VMDelta {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.advance(p.cfg.Clock(), lag)
	if since > p.list.version || since < p.list.base {
		since = 0
	}
	vms, removed := p.list.delta(since)
	return platform.VMDelta{Version: p.list.version, Full: since == 0, VMs: vms, Removed: removed}
}

// AddVM adds a VM, or changes the entry of one; a new worker starts empty.
func (p *Platform) AddVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addVM(vm, p.cfg.Clock())
}

// listNow changes the entry of a VM as if it had always been so.
func (p *Platform) listNow(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addVM(vm, time.Time{})
}

func (p *Platform) addVM(vm platform.VM, at time.Time) {
	p.list.set(vm, at)
	if vm.Role != platform.RoleWorker {
		return
	}
	if w, ok := p.workers[cluster.WorkerID(vm.ID)]; ok {
		w.vm = vm
		w.change()
		return
	}
	r := p.racks[vm.Rack]
	if r == nil {
		r = &rack{id: vm.Rack, place: vm.Place, sequence: p.base, base: p.base}
		p.racks[vm.Rack] = r
	}
	w := newWorker(p, r, vm)
	r.workers = append(r.workers, w)
	p.workers[w.id] = w
	p.order = append(p.order, w)
	w.change()
}

// AddEntry adds an entry VM with the address of its peer port.
func (p *Platform) AddEntry(id string, place cluster.Place, addr netip.AddrPort) {
	p.AddVM(platform.VM{ID: id, Role: platform.RoleEntry, Place: place, Addr: addr})
}

// SetLeaving marks a VM as about to go; it returns false if there is no such VM.
func (p *Platform) SetLeaving(id string, leaving bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, ok := p.list.truth[id]
	if !ok {
		return false
	}
	vm.Leaving = leaving
	p.list.set(vm, p.cfg.Clock())
	return true
}

// RemoveVM takes a VM away; the tasks of a worker end with it. It returns false if there is no such VM.
func (p *Platform) RemoveVM(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.list.truth[id]; !ok {
		return false
	}
	now := p.cfg.Clock()
	p.list.remove(id, now)
	if w, ok := p.workers[cluster.WorkerID(id)]; ok {
		w.setFaults(WorkerFaults{Dead: true}, now)
	}
	return true
}

// VMs returns the true list of VMs, by id.
func (p *Platform) VMs() []platform.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]platform.VM, 0, len(p.list.truth))
	for _, vm := range p.list.truth {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	return vms
}
