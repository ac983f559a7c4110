package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/rack"
)

const (
	// listingTimeout limits how long a listing waits for the other daemons.
	listingTimeout = 2 * time.Second
	// maxListing limits the listing of one daemon.
	maxListing = 32 << 20
)

// localListing is what one daemon knows from its own racks; GET /v1/local serves it to the other daemons.
type localListing struct {
	Daemon  string             `json:"daemon"`
	Jobs    []localJob         `json:"jobs"`
	Workers []api.WorkerStatus `json:"workers"`
	Teams   []api.TeamStatus   `json:"teams"`
	Racks   []localRack        `json:"racks"`
}

type localJob struct {
	api.JobStatus
	Home string `json:"home,omitempty"`
	// Recorded counts ended tasks of the whole job; every daemon that knows the job reports them.
	Recorded api.TaskCounts `json:"recorded"`
}

type localRack struct {
	ID    string `json:"id"`
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch"`
	Phase string `json:"phase"`
}

// listing merges the listings of all daemons that answered.
type listing struct {
	parts []localListing
	// Missing names the daemons that did not answer.
	missing []string
}

// local returns this daemon's own listing.
func (d *Daemon) local(ctx context.Context) localListing {
	result := localListing{Daemon: string(d.id)}
	var view rack.View
	if !d.loop.query(ctx, func(c *rack.Controller) { view = c.View() }) {
		return result
	}
	for i := range view.Jobs {
		result.Jobs = append(result.Jobs, jobOf(&view.Jobs[i]))
	}
	for i := range view.Workers {
		result.Workers = append(result.Workers, d.workerOf(&view.Workers[i]))
	}
	for i := range view.Teams {
		t := &view.Teams[i]
		result.Teams = append(result.Teams, api.TeamStatus{
			Name: string(t.Name), Share: t.Share, Limit: api.FromResources(t.Limit),
			Used: api.FromResources(t.Running), Pending: t.Pending,
		})
	}
	for i := range view.Racks {
		r := &view.Racks[i]
		result.Racks = append(result.Racks, localRack{ID: string(r.ID), Owner: string(r.Owner), Epoch: uint64(r.Epoch), Phase: r.Phase})
	}
	return result
}

func jobOf(j *rack.JobView) localJob {
	return localJob{
		JobStatus: api.JobStatus{
			ID: string(j.ID.Name), Team: string(j.ID.Team), Queue: string(j.Queue), State: j.State.String(),
			Workload: j.Kind, Submitted: j.SubmittedAt, Reason: j.WaitReason, Tasks: countsOf(j.TaskCounts),
		},
		Home:     string(j.HomeRack),
		Recorded: countsOf(j.FinalCounts),
	}
}

func countsOf(n [cluster.TaskStopped + 1]int) api.TaskCounts {
	return api.TaskCounts{
		Pending: n[cluster.TaskPending], Starting: n[cluster.TaskStarting], Running: n[cluster.TaskRunning],
		Finished: n[cluster.TaskFinished], Failed: n[cluster.TaskFailed], Unknown: n[cluster.TaskUnknown],
		Stopped: n[cluster.TaskStopped],
	}
}

func (d *Daemon) workerOf(w *rack.WorkerView) api.WorkerStatus {
	return api.WorkerStatus{
		ID: string(w.ID), Rack: string(w.Rack), Zone: string(w.Place.Zone), Region: string(w.Place.Region),
		Owner: string(d.id), Reachable: w.ClosedReason == "", Closed: w.ClosedReason,
		Capacity: api.FromResources(w.Capacity), Used: api.FromResources(w.Used), Running: w.Tasks,
	}
}

// collect gathers the listings of this daemon and of its live peers.
func (d *Daemon) collect(ctx context.Context) *listing {
	l := &listing{parts: []localListing{d.local(ctx)}}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, m := range d.members.Live() {
		if m.ID == d.id {
			continue
		}
		wg.Go(func() {
			part, err := d.fetchListing(ctx, m.HTTPAddr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				l.missing = append(l.missing, string(m.ID))
				d.log.Warn().Str("peer", string(m.ID)).Err(err).Msg("daemon: peer did not answer a listing")
				return
			}
			l.parts = append(l.parts, part)
		})
	}
	wg.Wait()
	slices.Sort(l.missing)
	return l
}

func (d *Daemon) fetchListing(ctx context.Context, addr netip.AddrPort) (localListing, error) {
	var part localListing
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/local", addr), nil)
	if err != nil {
		return part, err
	}
	if d.cfg.OperatorToken != "" {
		req.Header.Set("Authorization", "Bearer "+d.cfg.OperatorToken)
	}
	resp, err := d.listings.Do(req)
	if err != nil {
		return part, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return part, fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListing))
	if err != nil {
		return part, err
	}
	return part, json.Unmarshal(body, &part)
}

// jobs merges the daemons' parts of each job: counts of tasks on their racks add
// up, and of the recorded ends, which every part repeats, the newest are taken.
func (l *listing) jobs() []api.JobStatus {
	merged := map[string]*localJob{}
	for _, part := range l.parts {
		for _, j := range part.Jobs {
			key := j.Team + "/" + j.ID
			if have := merged[key]; have != nil {
				mergeJob(have, &j)
				continue
			}
			merged[key] = &j
		}
	}
	result := make([]api.JobStatus, 0, len(merged))
	for _, j := range merged {
		j.Tasks = combine(j.Tasks, j.Recorded, func(a, b int) int { return a + b })
		result = append(result, j.JobStatus)
	}
	slices.SortFunc(result, func(a, b api.JobStatus) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return result
}

func mergeJob(into, j *localJob) {
	into.Tasks = combine(into.Tasks, j.Tasks, func(a, b int) int { return a + b })
	into.Recorded = combine(into.Recorded, j.Recorded, func(a, b int) int { return max(a, b) })
	if into.State == rack.JobActive.String() {
		into.State = j.State
	}
	if into.Reason == "" {
		into.Reason = j.Reason
	}
	if into.Submitted.IsZero() {
		into.Submitted = j.Submitted
	}
}

func combine(a, b api.TaskCounts, f func(a, b int) int) api.TaskCounts {
	return api.TaskCounts{
		Pending: f(a.Pending, b.Pending), Starting: f(a.Starting, b.Starting), Running: f(a.Running, b.Running),
		Finished: f(a.Finished, b.Finished), Failed: f(a.Failed, b.Failed), Unknown: f(a.Unknown, b.Unknown),
		Stopped: f(a.Stopped, b.Stopped),
	}
}

// explanations returns each job with the reasons of each daemon for the tasks that wait there.
func (l *listing) explanations() []api.Explanation {
	reasons := map[string][]api.Reason{}
	for _, part := range l.parts {
		for _, j := range part.Jobs {
			if j.Reason != "" {
				key := j.Team + "/" + j.ID
				reasons[key] = append(reasons[key], api.Reason{Rack: j.Home, Tasks: j.Tasks.Pending, Reason: j.Reason})
			}
		}
	}
	var result []api.Explanation
	for _, j := range l.jobs() {
		result = append(result, api.Explanation{Job: j, Reasons: reasons[j.Team+"/"+j.ID]})
	}
	return result
}

func (l *listing) workers() []api.WorkerStatus {
	var result []api.WorkerStatus
	for _, part := range l.parts {
		result = append(result, part.Workers...)
	}
	slices.SortFunc(result, func(a, b api.WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// teams adds up the use of each team and relates it to the whole fleet.
func (l *listing) teams() []api.TeamStatus {
	var fleet cluster.Resources
	for _, w := range l.workers() {
		fleet = fleet.Add(w.Capacity.ToResources())
	}
	merged := map[string]*api.TeamStatus{}
	used := map[string]cluster.Resources{}
	for _, part := range l.parts {
		for _, t := range part.Teams {
			used[t.Name] = used[t.Name].Add(t.Used.ToResources())
			if have := merged[t.Name]; have != nil {
				have.Pending += t.Pending
				continue
			}
			merged[t.Name] = &t
		}
	}
	for _, j := range l.jobs() {
		if t := merged[j.Team]; t != nil {
			t.Running += j.Tasks.Running
		}
	}
	result := make([]api.TeamStatus, 0, len(merged))
	for name, t := range merged {
		t.Used = api.FromResources(used[name])
		t.DominantShare = used[name].DominantShare(fleet)
		result = append(result, *t)
	}
	slices.SortFunc(result, func(a, b api.TeamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return result
}

// listLocal handles GET /v1/local.
func (d *Daemon) listLocal(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.operator(w, r) {
		writeJSON(w, http.StatusOK, d.local(r.Context()))
	}
}

// listJobs handles GET /v1/jobs.
func (d *Daemon) listJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.operator(w, r) {
		l := d.collect(r.Context())
		writeJSON(w, http.StatusOK, api.JobList{Jobs: l.jobs(), Missing: l.missing})
	}
}

// listWorkers handles GET /v1/workers.
func (d *Daemon) listWorkers(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.operator(w, r) {
		l := d.collect(r.Context())
		writeJSON(w, http.StatusOK, api.WorkerList{Workers: l.workers(), Missing: l.missing})
	}
}

// listTeams handles GET /v1/teams.
func (d *Daemon) listTeams(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.operator(w, r) {
		l := d.collect(r.Context())
		writeJSON(w, http.StatusOK, api.TeamList{Teams: l.teams(), Missing: l.missing})
	}
}
