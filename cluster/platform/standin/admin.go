package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// maxAdminBody limits the size of the body of an admin request in bytes.
const maxAdminBody = 1 << 20

// NewAdminHandler returns a handler that shows and changes the settings of a
// platform and its runners while they run; runners may be nil. A PATCH request
// changes only the fields in its body.
func NewAdminHandler(p *Platform, runners *Runners) http.Handler {
	if runners == nil {
		runners = &Runners{p: p}
	}
	a := &admin{p, runners}
	r := httprouter.New()
	r.GET("/admin/faults", a.serve(a.showFaults))
	r.PATCH("/admin/faults", a.serve(a.changeFaults))
	r.GET("/admin/workers/:id/faults", a.serve(a.showWorker))
	r.PATCH("/admin/workers/:id/faults", a.serve(a.changeWorker))
	r.GET("/admin/vms", a.serve(a.showVMs))
	r.POST("/admin/vms", a.serve(a.addVM))
	r.POST("/admin/entries", a.serve(a.addEntry))
	r.DELETE("/admin/vms/:id", a.serve(a.removeVM))
	r.PUT("/admin/vms/:id/leaving", a.serve(a.setLeaving(true)))
	r.DELETE("/admin/vms/:id/leaving", a.serve(a.setLeaving(false)))
	r.GET("/admin/runners", a.serve(a.showRunners))
	r.PATCH("/admin/runners/:id/faults", a.serve(a.changeRunner))
	r.POST("/admin/runners/:id/:action", a.serve(a.runnerAction))
	r.GET("/admin/runners/:id/executions", a.serve(a.showExecutions))
	r.GET("/admin/stats", a.serve(a.showStats))
	r.GET("/admin/attempts", a.serve(a.showAttempts))
	return r
}

// admin implements the endpoints of NewAdminHandler.
type admin struct {
	p       *Platform
	runners *Runners
}

// adminRequest holds the body and the path parameters of a request.
type adminRequest struct {
	body   []byte
	params httprouter.Params
}

func (r *adminRequest) id() string { return r.params.ByName("id") }

// decode decodes the body into v; fields that are missing in the body keep their values.
func (r *adminRequest) decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return invalidRequestError(err)
	}
	return nil
}

// serve returns an HTTP handler that reads the body, calls handle and encodes
// its result as JSON.
func (a *admin) serve(handle func(r *adminRequest) (any, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBody))
		if err != nil {
			writeError(w, invalidRequestError(err))
			return
		}
		reply, err := handle(&adminRequest{body, params})
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The error is ignored: after a failed write the client sees a broken connection.
		_ = json.NewEncoder(w).Encode(reply)
	}
}

func notFoundError(id string) error {
	return &platform.Error{Op: "admin", Kind: platform.KindNotFound, Key: id}
}

func (a *admin) showFaults(*adminRequest) (any, error) { return faultsToWire(a.p.Faults()), nil }

func (a *admin) changeFaults(r *adminRequest) (any, error) {
	w := faultsToWire(a.p.Faults())
	if err := r.decode(&w); err != nil {
		return nil, err
	}
	if err := w.validate(); err != nil {
		return nil, invalidRequestError(err)
	}
	a.p.SetFaults(func(f *Faults) { *f = w.toFaults() })
	return a.showFaults(r)
}

func (a *admin) showWorker(r *adminRequest) (any, error) {
	f, ok := a.p.WorkerFaults(cluster.WorkerID(r.id()))
	if !ok {
		return nil, notFoundError(r.id())
	}
	return workerFaultsWire(f), nil
}

func (a *admin) changeWorker(r *adminRequest) (any, error) {
	f, _ := a.p.WorkerFaults(cluster.WorkerID(r.id()))
	w := workerFaultsWire(f)
	if err := r.decode(&w); err != nil {
		return nil, err
	}
	if w.SizeFactor < 0 || w.RunTimeFactor < 0 {
		return nil, invalidRequestError(fmt.Errorf("a factor is negative"))
	}
	if !a.p.SetWorkerFaults(cluster.WorkerID(r.id()), func(f *WorkerFaults) { *f = WorkerFaults(w) }) {
		return nil, notFoundError(r.id())
	}
	return w, nil
}

func (a *admin) showVMs(*adminRequest) (any, error) {
	return json.RawMessage(platform.EncodeVMDelta(platform.VMDelta{Full: true, VMs: a.p.VMs()})), nil
}

func (a *admin) addVM(r *adminRequest) (any, error) {
	vm, err := platform.DecodeVM(r.body)
	if err != nil {
		return nil, invalidRequestError(err)
	}
	if vm.ID == "" || vm.Role == platform.RoleWorker && vm.Rack == "" {
		return nil, invalidRequestError(fmt.Errorf("the VM has no id or, for a worker, no rack"))
	}
	a.p.AddVM(vm)
	return json.RawMessage(platform.EncodeVM(vm)), nil
}

// entryWire is the body of a request to add an entry VM.
type entryWire struct {
	ID   string         `json:"id"`
	Zone string         `json:"zone"`
	Addr netip.AddrPort `json:"addr"`
}

func (a *admin) addEntry(r *adminRequest) (any, error) {
	var w entryWire
	if err := r.decode(&w); err != nil {
		return nil, err
	}
	place := a.p.cfg.Cell.PlaceOf(cluster.Zone(w.Zone))
	if w.ID == "" || place.Zone == "" || !w.Addr.IsValid() {
		return nil, invalidRequestError(fmt.Errorf("id %q, zone %q, addr %v", w.ID, w.Zone, w.Addr))
	}
	a.p.AddEntry(w.ID, place, w.Addr)
	return w, nil
}

// actionReplyWire is the reply to a request that acts on a VM or a runner.
type actionReplyWire struct {
	ID     string `json:"id"`
	Action string `json:"done"`
}

func (a *admin) removeVM(r *adminRequest) (any, error) {
	if !a.p.RemoveVM(r.id()) {
		return nil, notFoundError(r.id())
	}
	if runner := a.runners.Get(cluster.UpstreamID(r.id())); runner != nil {
		runner.Kill()
	}
	return actionReplyWire{r.id(), "removed"}, nil
}

func (a *admin) setLeaving(leaving bool) func(r *adminRequest) (any, error) {
	return func(r *adminRequest) (any, error) {
		if !a.p.SetLeaving(r.id(), leaving) {
			return nil, notFoundError(r.id())
		}
		return actionReplyWire{r.id(), fmt.Sprintf("leaving=%t", leaving)}, nil
	}
}

func (a *admin) showRunners(*adminRequest) (any, error) {
	list := []runnerWire{}
	for _, r := range a.runners.All() {
		list = append(list, runnerWire{r.ID(), r.Addr(), runnerFaultsToWire(r.Faults()), runnerStatsWire(r.Stats())})
	}
	return list, nil
}

func (a *admin) changeRunner(r *adminRequest) (any, error) {
	runner := a.runners.Get(cluster.UpstreamID(r.id()))
	if runner == nil {
		return nil, notFoundError(r.id())
	}
	w := runnerFaultsToWire(runner.Faults())
	if err := r.decode(&w); err != nil {
		return nil, err
	}
	f, err := w.toRunnerFaults()
	if err != nil {
		return nil, invalidRequestError(err)
	}
	runner.SetFaults(func(current *RunnerFaults) { *current = f })
	return w, nil
}

func (a *admin) runnerAction(r *adminRequest) (any, error) {
	runner := a.runners.Get(cluster.UpstreamID(r.id()))
	if runner == nil {
		return nil, notFoundError(r.id())
	}
	action := r.params.ByName("action")
	switch action {
	case "kill":
		runner.Kill()
	case "restart":
		if err := runner.Restart(); err != nil {
			return nil, unavailableError("restart", err)
		}
	case "silence":
		runner.StallConnections()
	default:
		return nil, invalidRequestError(fmt.Errorf("action %q is not one of kill, restart, silence", action))
	}
	return actionReplyWire{r.id(), action}, nil
}

func (a *admin) showExecutions(r *adminRequest) (any, error) {
	runner := a.runners.Get(cluster.UpstreamID(r.id()))
	if runner == nil {
		return nil, notFoundError(r.id())
	}
	list := []executionWire{}
	for _, e := range runner.Executions() {
		list = append(list, executionWire(e))
	}
	return list, nil
}

func (a *admin) showStats(*adminRequest) (any, error) {
	s := a.p.Stats()
	w := statsWire{
		Reads: s.Reads, RowsRead: s.RowsRead, Commits: s.Commits, RowsWritten: s.RowsWritten, Throttled: s.Throttled,
		LostReplies: s.LostReplies, Exchanges: s.Exchanges, Starts: s.Starts, CapacityRefusals: s.CapacityRefusals,
		StaleCommands: s.StaleCommands, KnownRefusals: s.KnownRefusals, ExpiredLeases: s.ExpiredLeases,
		Running: a.p.Running(), Overlaps: s.Overlaps,
	}
	return w, nil
}

// maxShownAttempts limits the number of attempts in a reply.
const maxShownAttempts = 1000

// showAttempts returns the attempts that were started last, oldest first.
func (a *admin) showAttempts(*adminRequest) (any, error) {
	starts := a.p.Starts()
	list := []attemptWire{}
	for _, s := range starts[max(0, len(starts)-maxShownAttempts):] {
		w := attemptWire{
			Attempt: s.Attempt.String(), Worker: string(s.Worker), Owner: string(s.Owner), Epoch: uint64(s.Epoch), Start: s.Start, End: s.End,
		}
		if !s.End.IsZero() {
			w.Outcome = s.Outcome.String()
		}
		list = append(list, w)
	}
	return list, nil
}

// attemptWire is the JSON form of an AttemptRecord.
type attemptWire struct {
	Attempt string    `json:"attempt"`
	Worker  string    `json:"worker"`
	Owner   string    `json:"owner"`
	Epoch   uint64    `json:"epoch"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	Outcome string    `json:"outcome,omitempty"`
}
