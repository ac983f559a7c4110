package cell

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/admission"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

const (
	// loadSendInterval is the time between two load reports to the other daemons while a pool is full, and
	// manyDaemonsSendInterval that for more than manyDaemons of them, so that the reports take less than a quarter of a link
	// of 2 Mbit/s.
	loadSendInterval        = 500 * time.Millisecond
	manyDaemonsSendInterval = time.Second
	manyDaemons             = 32
	// unresolvedTime is how long a job that was accepted, or whose submission had an unknown outcome, is not refused when
	// it is submitted again. Clients return earlier.
	unresolvedTime = 30 * time.Second
	// maxUnresolved bounds the accepted jobs that are remembered for that. They take 0.9 MB.
	maxUnresolved = 10_000
	// maxSettledLatency is the mean latency of the store above which no job is rejected, as a submission that another daemon
	// gave up may still be written. It is 40 times the usual one.
	maxSettledLatency = 250 * time.Millisecond
	// settleTime is how long a daemon must have seen the store reachable for all daemons for the same reason.
	settleTime = time.Second
	// settleCheckInterval is the interval at which that is checked, also while no job is to be rejected.
	settleCheckInterval = settleTime / 4
	// lookupRate is how many jobs that are to be rejected all daemons together look up in the store in a second; a daemon
	// has an equal part of it, but at least minLookupRate. Each takes two reads, and the store would refuse the calls of
	// the owner if there were many more. Jobs beyond it are accepted.
	lookupRate    = 600
	minLookupRate = 5
	// maxRepeatReads bounds the reads for jobs that are to be rejected. repeatReadTimeout limits the wait for such a read
	// and the read; after it the job is accepted.
	maxRepeatReads    = 16
	repeatReadTimeout = 500 * time.Millisecond
)

// admitter decides about submitted jobs while their pools are full.
type admitter struct {
	d *Daemon

	mu     sync.Mutex
	ledger *admission.Ledger
	// reports holds the last report of the latest owner of each shard.
	reports map[string]admission.Report
	// unresolved holds the jobs that are being written, and those that were written or may have been in the last
	// unresolvedTime, as far as maxUnresolved allows. Those whose time is over are dropped once a second, at droppedAt.
	unresolved map[cluster.JobName]*unresolvedJob
	droppedAt  time.Time
	// unsettledAt is when the store was last seen slow or not reachable for a daemon.
	unsettledAt time.Time

	repeatReads chan struct{}
	lookupLimit *rate.Limiter
	decisions   [admission.NumReasons]tally.Counter
	repeats     tally.Counter
}

// unresolvedJob is a job that a submission at this daemon has written or may write.
type unresolvedJob struct {
	// writing is the number of its submissions that are being written.
	writing int
	// until is the time until which a repeat of the job is not refused because of a submission that has ended.
	until time.Time
}

func newAdmitter(d *Daemon) *admitter {
	a := &admitter{
		d: d, ledger: admission.NewLedger(), reports: map[string]admission.Report{}, unresolved: map[cluster.JobName]*unresolvedJob{},
		repeatReads: make(chan struct{}, maxRepeatReads), lookupLimit: rate.NewLimiter(lookupRate, lookupRate), repeats: d.cfg.Metrics.Counter("admission_repeats_total"),
	}
	for i := range a.decisions {
		reason := admission.Reason(i)
		verdict := "admitted"
		if reason >= admission.ReasonUseless {
			verdict = "rejected"
		}
		a.decisions[i] = d.cfg.Metrics.Tagged(map[string]string{"verdict": verdict, "reason": reason.String()}).Counter("admission_decisions_total")
	}
	return a
}

// admit returns an Error of kind KindRejected if a job is rejected because of load.
func (a *admitter) admit(ctx context.Context, shard shardID, job *workload.Job) error {
	if !a.d.cfg.Admission {
		return nil
	}
	request := admissionRequest(shard, job)
	verdict := a.decide(time.Now(), request)
	if !verdict.Admitted && a.findStored(ctx, job.ID, verdict.Report.Daemons) != notStored {
		verdict.Admitted = true
		a.record(time.Now(), request, verdict)
		a.repeats.Inc(1)
		a.d.cfg.Log.Info().Str("job", string(job.ID)).Stringer("reason", verdict.Reason).Msg("cell: job is not rejected, as it may be in the store already")
		return nil
	}
	a.record(time.Now(), request, verdict)
	a.decisions[verdict.Reason].Inc(1)
	if verdict.Admitted {
		return nil
	}
	a.d.cfg.Log.Info().Str("job", string(job.ID)).Str("queue", string(job.Queue)).Str("team", string(job.Team)).Stringer("shard", shard).
		Stringer("reason", verdict.Reason).Dur("wait", verdict.Wait).Dur("allowed", verdict.Allowed).Float64("entitledShare", verdict.EntitledShare).
		Dur("retryAfter", verdict.ReturnIn).Dur("reportAge", verdict.Age).Uint64("epoch", verdict.Report.Epoch).Msg("cell: job rejected")
	return &Error{Op: "submit", Kind: KindRejected, RetryAfter: verdict.ReturnIn, Err: rejection(&verdict)}
}

// rejection describes the reason of a rejection to the client.
func rejection(v *admission.Verdict) error {
	switch v.Reason {
	case admission.ReasonSurplus:
		return errors.New("not run: the pool is full and the team submits more jobs a second than its share")
	case admission.ReasonGang:
		return errors.New("not run: the pool is full and capacity is kept for a job that needs more at once")
	}
	return fmt.Errorf("not run: the pool is full and the result would be too late, as the job would wait for about %s", v.Wait.Round(100*time.Millisecond))
}

func admissionRequest(shard shardID, job *workload.Job) admission.Request {
	r := admission.Request{
		Shard: shard.String(), Team: job.Team, Rank: job.Terms.Rank, Work: pool.JobWork(job), Exempt: pool.NeverRejected(job),
		Random: rand.Float64(), Spread: rand.Float64(),
	}
	for _, path := range job.CriticalPaths() {
		r.Chain = max(r.Chain, path)
	}
	r.Objective = time.Duration(job.Terms.Stretch*float64(r.Chain)) + job.Terms.Target
	for i := range job.Steps {
		r.Gang = r.Gang || job.Steps[i].Gang
	}
	return r
}

func (a *admitter) decide(now time.Time, r admission.Request) admission.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []admission.Report
	if report, ok := a.reports[r.Shard]; ok {
		reports = append(reports, report)
	}
	return admission.Decide(now, r, reports, a.ledger)
}

// record enters a verdict in the ledger. A job that is accepted because it may be stored counts as admitted: most of those
// are new jobs that can't be looked up, and the owner counts them as accepted.
func (a *admitter) record(now time.Time, r admission.Request, verdict admission.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.Add(now, r, verdict)
}

// receive keeps a report unless there is one of a later owner.
func (a *admitter) receive(report admission.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last, ok := a.reports[report.Shard]; !ok || report.Epoch > last.Epoch || report.Epoch == last.Epoch && report.At.After(last.At) {
		a.reports[report.Shard] = report
	}
}

// begin notes that a submission of a job is being written.
func (a *admitter) begin(id cluster.JobName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unresolved[id] == nil {
		a.unresolved[id] = &unresolvedJob{}
	}
	a.unresolved[id].writing++
}

// end notes the result of a submission after begin.
func (a *admitter) end(id cluster.JobName, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, job := time.Now(), a.unresolved[id]
	job.writing--
	if IsKind(err, KindUnknown) || err == nil && len(a.unresolved) <= maxUnresolved {
		job.until = now.Add(unresolvedTime)
	}
	if job.writing == 0 && now.After(job.until) {
		delete(a.unresolved, id)
	}
	if now.Sub(a.droppedAt) < time.Second {
		return
	}
	a.droppedAt = now
	for other, u := range a.unresolved {
		if u.writing == 0 && now.After(u.until) {
			delete(a.unresolved, other)
		}
	}
}

// isUnresolved reports whether a job was written by a submission at this daemon, or may be.
func (a *admitter) isUnresolved(id cluster.JobName) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	job := a.unresolved[id]
	return job != nil && (job.writing > 0 || time.Now().Before(job.until))
}

// storedResult says whether a job is in the store.
type storedResult int

const (
	notStored storedResult = iota
	stored
	// storedUnknown means that the job can't be looked up.
	storedUnknown
)

// findStored finds out whether a job is in the store or may be written by an earlier submission.
func (a *admitter) findStored(ctx context.Context, id cluster.JobName, daemons int) storedResult {
	if a.isUnresolved(id) {
		return stored
	}
	if !a.storeSettled() || !a.allowLookup(daemons) {
		return storedUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, repeatReadTimeout)
	defer cancel()
	select {
	case a.repeatReads <- struct{}{}:
		defer func() { <-a.repeatReads }()
	case <-ctx.Done():
		return storedUnknown
	}
	reply, err := a.d.store.Read(ctx, platform.ReadRequest{Keys: jobKeys(a.d.shardCount(), id)})
	switch {
	case err != nil:
		a.d.cfg.Log.Info().Err(err).Str("job", string(id)).Msg("cell: job to be rejected can't be looked up")
		return storedUnknown
	case len(reply.Rows) > 0:
		return stored
	}
	return notStored
}

// allowLookup reports whether this daemon may look up a job now.
func (a *admitter) allowLookup(daemons int) bool {
	limit := max(minLookupRate, lookupRate/max(1, daemons))
	a.lookupLimit.SetLimit(rate.Limit(limit))
	a.lookupLimit.SetBurst(limit)
	return a.lookupLimit.Allow()
}

// storeSettled reports whether the store has served all daemons at its usual speed for settleTime. Otherwise a submission
// with an unknown outcome at another daemon may be written after a look at the store did not find it.
func (a *admitter) storeSettled() bool {
	now := time.Now()
	unsettled := !a.d.store.reachable() || a.d.store.meanLatency() > maxSettledLatency || a.d.storeHiddenFromPeer()
	a.mu.Lock()
	defer a.mu.Unlock()
	if unsettled {
		a.unsettledAt = now
	}
	return now.Sub(a.unsettledAt) >= settleTime
}

// watchStore notes times at which the store is slow or not reachable for a daemon. Without it only those at which a job was
// to be rejected would count.
func (a *admitter) watchStore() {
	for a.d.sleep(settleCheckInterval) {
		a.storeSettled()
	}
}

// storeHiddenFromPeer reports whether another daemon that responds does not reach the store.
func (d *Daemon) storeHiddenFromPeer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, digest := range d.digests {
		if !digest.StoreVisible && time.Since(d.transport.LastSeen(id)) < peerTimeout {
			return true
		}
	}
	return false
}

// loadReporter passes the load of an owned shard to the daemons; only the control loop uses it.
type loadReporter struct {
	// last is the time of the last report, sentAt when one was sent to the other daemons.
	last, sentAt time.Time
	// sentFull means that the last one said that the pool is full.
	sentFull bool
}

// reportLoad passes a load report that is new to this daemon and, while the pool is full and once after that, to the others.
func (o *ownedShard) reportLoad(now time.Time, report admission.Report) {
	if !report.At.After(o.loadReports.last) {
		return
	}
	o.loadReports.last = report.At
	report.Shard = o.id.String()
	if !report.Full && !o.loadReports.sentFull {
		o.d.admitter.receive(report)
		return
	}
	daemons, interval := o.d.reachableDaemons(), loadSendInterval
	if len(daemons) > manyDaemons {
		interval = manyDaemonsSendInterval
	}
	report.Daemons = len(daemons)
	o.d.admitter.receive(report)
	if now.Sub(o.loadReports.sentAt) < interval {
		return
	}
	o.loadReports.sentAt, o.loadReports.sentFull = now, report.Full
	body, err := encode("report load", loadMessageOf(&report, now))
	if err != nil {
		o.d.cfg.Log.Error().Err(err).Msg("cell: load can't be reported")
		return
	}
	sent := 0
	for _, id := range daemons {
		if id != o.d.cfg.Self && o.d.transport.Send(id, &peer.Call{ID: noReplyID, Method: methodReportLoad, Body: body}) {
			sent++
		}
	}
	o.d.cfg.Log.Debug().Stringer("shard", o.id).Bool("full", report.Full).Bool("uncertain", report.Uncertain).Int("bytes", len(body)).Int("daemons", sent).
		Msg("cell: load reported")
}

// loadMessage is a load report. Its encoded field names are short and its lists hold plain numbers, as each owner of a full
// pool sends it to each daemon. Numbers are of type int, which is encoded in as few bytes as possible. Times are in
// milliseconds; amounts of work are lists of core-seconds, GiB-seconds and accelerator-seconds in units of 1/loadUnit.
type loadMessage struct {
	Shard       string        `msgpack:"s"`
	Epoch       uint64        `msgpack:"e"`
	Age         int           `msgpack:"t"`
	Full        bool          `msgpack:"f"`
	Uncertain   bool          `msgpack:"u"`
	Standing    bool          `msgpack:"g"`
	SurplusHeld time.Duration `msgpack:"h"`
	Daemons     int           `msgpack:"d"`
	Rate        []int         `msgpack:"r"`
	Surplus     []int         `msgpack:"p"`
	Accepted    int           `msgpack:"j"`
	// Arrivals holds the rank and the amounts of work that arrive in a second.
	Arrivals [][]int `msgpack:"a"`
	// Bands holds the rank, 1 for late work, the time to the deadline and the amounts of work of each band.
	Bands [][]int `msgpack:"b"`
	// Gangs holds the rank and the times to the deadline and to the latest start of each gang.
	Gangs [][]int `msgpack:"n"`
	// Teams are the names of the teams, TeamRates their accepted and entitled jobs a second in units of 1/loadUnit.
	Teams     []string `msgpack:"m"`
	TeamRates [][]int  `msgpack:"q"`
}

// maxLoadMessageBytes is the maximum size of a loadMessage that is read. One with all bands of 100 ranks takes 29 KB.
const maxLoadMessageBytes = 64 << 10

// loadUnit is the number of units of an amount in a loadMessage.
const loadUnit = 100

func loadMessageOf(r *admission.Report, now time.Time) *loadMessage {
	m := &loadMessage{
		Shard: r.Shard, Epoch: r.Epoch, Age: int(max(0, now.Sub(r.At)).Milliseconds()), Full: r.Full, Uncertain: r.Uncertain, Standing: r.Standing,
		SurplusHeld: r.SurplusHeld, Daemons: r.Daemons, Rate: encodeWork(r.Rate), Surplus: encodeWork(r.Surplus),
		Accepted: loadUnits(r.Accepted),
	}
	for _, a := range r.Arrivals {
		m.Arrivals = append(m.Arrivals, append([]int{a.Rank}, encodeWork(a.Work)...))
	}
	for _, b := range r.Bands {
		late := 0
		if b.Late {
			late = 1
		}
		m.Bands = append(m.Bands, append([]int{b.Rank, late, int(b.Within.Milliseconds())}, encodeWork(b.Work)...))
	}
	for _, g := range r.Gangs {
		m.Gangs = append(m.Gangs, []int{g.Rank, int(g.Within.Milliseconds()), int(g.LatestStart.Milliseconds())})
	}
	for _, t := range r.Teams {
		m.Teams = append(m.Teams, string(t.Team))
		m.TeamRates = append(m.TeamRates, []int{loadUnits(t.Accepted), loadUnits(t.Entitled)})
	}
	return m
}

// report returns the report in a message that was received at the given time. Numbers that are missing in a list are zero,
// further ones are left out.
func (m *loadMessage) report(now time.Time) admission.Report {
	r := admission.Report{
		Shard: m.Shard, Epoch: m.Epoch, At: now.Add(-milliseconds(max(0, m.Age))), Full: m.Full, Uncertain: m.Uncertain, Standing: m.Standing,
		SurplusHeld: m.SurplusHeld, Daemons: m.Daemons, Rate: decodeWork(m.Rate), Surplus: decodeWork(m.Surplus),
		Accepted: float64(m.Accepted) / loadUnit,
	}
	for _, list := range m.Arrivals {
		a := padded(list)
		r.Arrivals = append(r.Arrivals, admission.RankArrivals{Rank: a[0], Work: decodeWork(a[1:])})
	}
	for _, list := range m.Bands {
		b := padded(list)
		r.Bands = append(r.Bands, admission.Band{Rank: b[0], Late: b[1] != 0, Within: milliseconds(b[2]), Work: decodeWork(b[3:])})
	}
	for _, list := range m.Gangs {
		g := padded(list)
		r.Gangs = append(r.Gangs, admission.GangLoad{Rank: g[0], Within: milliseconds(g[1]), LatestStart: milliseconds(g[2])})
	}
	for i := range min(len(m.Teams), len(m.TeamRates)) {
		rates := padded(m.TeamRates[i])
		r.Teams = append(r.Teams, admission.TeamLoad{
			Team: cluster.TeamName(m.Teams[i]), Accepted: float64(rates[0]) / loadUnit, Entitled: float64(rates[1]) / loadUnit,
		})
	}
	return r
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// padded returns the first numbers of a list, as many as the longest list of a loadMessage has.
func padded(list []int) []int {
	const longest = 6
	numbers := make([]int, longest)
	copy(numbers, list)
	return numbers
}

func loadUnits(v float64) int { return int(math.Round(v * loadUnit)) }

func encodeWork(w admission.Work) []int {
	return []int{loadUnits(w.CPU), loadUnits(w.Memory), loadUnits(w.Accelerators)}
}

func decodeWork(list []int) admission.Work {
	amounts := padded(list)
	return admission.Work{CPU: float64(amounts[0]) / loadUnit, Memory: float64(amounts[1]) / loadUnit, Accelerators: float64(amounts[2]) / loadUnit}
}

// receiveLoad keeps the load report of another daemon. The peer port authenticates nobody, so that only reports of limited
// size for existing shards are kept.
func (d *Daemon) receiveLoad(body []byte) error {
	if !d.cfg.Admission {
		return nil
	}
	if len(body) > maxLoadMessageBytes {
		return &Error{Op: "receive load", Kind: KindMalformed, Err: fmt.Errorf("message of %d bytes", len(body))}
	}
	m, err := decode[loadMessage]("receive load", body)
	if err != nil {
		return err
	}
	id := parseShardID(m.Shard)
	if id.String() != m.Shard || id.Index < 0 || id.Index >= d.shardCount() || !d.hasService(id.Service) {
		// This is usual while the configurations of the daemons differ.
		d.cfg.Log.Debug().Str("shard", m.Shard).Msg("cell: load report of an unknown shard is left out")
		return nil
	}
	d.admitter.receive(m.report(time.Now()))
	return nil
}

// hasService reports whether a queue belongs to a service.
func (d *Daemon) hasService(name cluster.ServiceName) bool {
	for _, q := range d.Snapshot().Queues {
		if q.Service == name {
			return true
		}
	}
	return false
}
