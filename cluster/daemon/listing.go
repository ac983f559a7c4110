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
	// listingTimeout limits how long a daemon waits for the listings of the others.
	listingTimeout = 2 * time.Second
	// maxListingBytes limits the size of the listing read from one daemon.
	maxListingBytes = 32 << 20
)

// localListing is the state that one daemon knows from its own racks; GET /v1/local returns it to the other daemons.
type localListing struct {
	Daemon  string             `json:"daemon"`
	Jobs    []localJob         `json:"jobs"`
	Workers []api.WorkerStatus `json:"workers"`
	Teams   []api.TeamStatus   `json:"teams"`
	Racks   []localRack        `json:"racks"`
}

// localJob is the state of a job as one daemon knows it; Tasks counts only the tasks on the daemon's racks.
type localJob struct {
	api.JobStatus
	// Home is the home rack of the job.
	Home string `json:"home,omitempty"`
	// Recorded counts the ended tasks of the whole job. Every daemon that knows
	// the job reports them, so they must not be added up.
	Recorded api.TaskCounts `json:"recorded"`
}

type localRack struct {
	ID    string `json:"id"`
	Owner string `json:"owner,omitempty"`
	Epoch uint64 `json:"epoch"`
	Phase string `json:"phase"`
}

// listing holds the listings of all daemons that replied and merges them.
type listing struct {
	daemonListings []localListing
	// missing names the live daemons whose listings could not be fetched.
	missing []string
}

// ownListing returns the listing of this daemon; it is empty if the control loop does not respond before ctx is done.
func (d *Daemon) ownListing(ctx context.Context) localListing {
	result := localListing{Daemon: string(d.id)}
	var view rack.View
	if !d.loop.query(ctx, func(c *rack.Controller) { view = c.View() }) {
		return result
	}
	for i := range view.Jobs {
		result.Jobs = append(result.Jobs, toLocalJob(&view.Jobs[i]))
	}
	for i := range view.Workers {
		result.Workers = append(result.Workers, d.toWorkerStatus(&view.Workers[i]))
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

func toLocalJob(j *rack.JobView) localJob {
	return localJob{
		JobStatus: api.JobStatus{
			ID: string(j.ID.Name), Team: string(j.ID.Team), Queue: string(j.Queue), State: j.State.String(),
			Workload: j.Kind, Submitted: j.SubmittedAt, Reason: j.WaitReason, Tasks: toTaskCounts(j.TaskCounts),
		},
		Home:     string(j.HomeRack),
		Recorded: toTaskCounts(j.FinalCounts),
	}
}

func toTaskCounts(n [cluster.TaskStopped + 1]int) api.TaskCounts {
	return api.TaskCounts{
		Pending: n[cluster.TaskPending], Starting: n[cluster.TaskStarting], Running: n[cluster.TaskRunning],
		Finished: n[cluster.TaskFinished], Failed: n[cluster.TaskFailed], Unknown: n[cluster.TaskUnknown],
		Stopped: n[cluster.TaskStopped],
	}
}

func (d *Daemon) toWorkerStatus(w *rack.WorkerView) api.WorkerStatus {
	return api.WorkerStatus{
		ID: string(w.ID), Rack: string(w.Rack), Zone: string(w.Place.Zone), Region: string(w.Place.Region),
		Owner: string(d.id), Reachable: w.ClosedReason == "", Closed: w.ClosedReason,
		Capacity: api.FromResources(w.Capacity), Used: api.FromResources(w.Used), Running: w.Tasks,
	}
}

// collectListings returns the listings of this daemon and of its live peers.
func (d *Daemon) collectListings(ctx context.Context) *listing {
	l := &listing{daemonListings: []localListing{d.ownListing(ctx)}}
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, m := range d.members.Live() {
		if m.ID == d.id {
			continue
		}
		wg.Go(func() {
			fetched, err := d.fetchListing(ctx, m.HTTPAddr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				l.missing = append(l.missing, string(m.ID))
				d.log.Warn().Str("peer", string(m.ID)).Err(err).Msg("daemon: peer did not return its listing")
				return
			}
			l.daemonListings = append(l.daemonListings, fetched)
		})
	}
	wg.Wait()
	slices.Sort(l.missing)
	return l
}

func (d *Daemon) fetchListing(ctx context.Context, addr netip.AddrPort) (localListing, error) {
	var result localListing
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/local", addr), nil)
	if err != nil {
		return result, err
	}
	if d.cfg.OperatorToken != "" {
		req.Header.Set("Authorization", "Bearer "+d.cfg.OperatorToken)
	}
	resp, err := d.listingClient.Do(req)
	if err != nil {
		return result, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return result, fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListingBytes))
	if err != nil {
		return result, err
	}
	return result, json.Unmarshal(body, &result)
}

// jobs merges what the daemons report about each job. Counts of the tasks on
// their racks are added up. Recorded ends are reported by every daemon, so the
// highest count, which is the most recent, is used.
func (l *listing) jobs() []api.JobStatus {
	merged := map[string]*localJob{}
	for _, fromDaemon := range l.daemonListings {
		for _, j := range fromDaemon.Jobs {
			key := j.Team + "/" + j.ID
			if existing := merged[key]; existing != nil {
				mergeJob(existing, &j)
				continue
			}
			merged[key] = &j
		}
	}
	result := make([]api.JobStatus, 0, len(merged))
	for _, j := range merged {
		j.Tasks = combineCounts(j.Tasks, j.Recorded, func(a, b int) int { return a + b })
		result = append(result, j.JobStatus)
	}
	slices.SortFunc(result, func(a, b api.JobStatus) int {
		return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
	})
	return result
}

// mergeJob adds to into what another daemon reports about the same job.
func mergeJob(into, j *localJob) {
	into.Tasks = combineCounts(into.Tasks, j.Tasks, func(a, b int) int { return a + b })
	into.Recorded = combineCounts(into.Recorded, j.Recorded, func(a, b int) int { return max(a, b) })
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

// combineCounts applies f to the counts of a and b for each state.
func combineCounts(a, b api.TaskCounts, f func(a, b int) int) api.TaskCounts {
	return api.TaskCounts{
		Pending: f(a.Pending, b.Pending), Starting: f(a.Starting, b.Starting), Running: f(a.Running, b.Running),
		Finished: f(a.Finished, b.Finished), Failed: f(a.Failed, b.Failed), Unknown: f(a.Unknown, b.Unknown),
		Stopped: f(a.Stopped, b.Stopped),
	}
}

// explanations returns each job with the reasons that the daemons report for its pending tasks.
func (l *listing) explanations() []api.Explanation {
	reasons := map[string][]api.Reason{}
	for _, fromDaemon := range l.daemonListings {
		for _, j := range fromDaemon.Jobs {
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
	for _, fromDaemon := range l.daemonListings {
		result = append(result, fromDaemon.Workers...)
	}
	slices.SortFunc(result, func(a, b api.WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return result
}

// teams adds up the usage of each team and computes its dominant share of the capacity of all listed workers.
func (l *listing) teams() []api.TeamStatus {
	var capacity cluster.Resources
	for _, w := range l.workers() {
		capacity = capacity.Add(w.Capacity.ToResources())
	}
	merged := map[string]*api.TeamStatus{}
	used := map[string]cluster.Resources{}
	for _, fromDaemon := range l.daemonListings {
		for _, t := range fromDaemon.Teams {
			used[t.Name] = used[t.Name].Add(t.Used.ToResources())
			if existing := merged[t.Name]; existing != nil {
				existing.Pending += t.Pending
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
		t.DominantShare = used[name].DominantShare(capacity)
		result = append(result, *t)
	}
	slices.SortFunc(result, func(a, b api.TeamStatus) int { return cmp.Compare(a.Name, b.Name) })
	return result
}

// listLocal handles GET /v1/local.
func (d *Daemon) listLocal(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.authorizeOperator(w, r) {
		writeJSON(w, http.StatusOK, d.ownListing(r.Context()))
	}
}

// listJobs handles GET /v1/jobs.
func (d *Daemon) listJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.authorizeOperator(w, r) {
		l := d.collectListings(r.Context())
		writeJSON(w, http.StatusOK, api.JobList{Jobs: l.jobs(), Missing: l.missing})
	}
}

// listWorkers handles GET /v1/workers.
func (d *Daemon) listWorkers(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.authorizeOperator(w, r) {
		l := d.collectListings(r.Context())
		writeJSON(w, http.StatusOK, api.WorkerList{Workers: l.workers(), Missing: l.missing})
	}
}

// listTeams handles GET /v1/teams.
func (d *Daemon) listTeams(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if d.authorizeOperator(w, r) {
		l := d.collectListings(r.Context())
		writeJSON(w, http.StatusOK, api.TeamList{Teams: l.teams(), Missing: l.missing})
	}
}
