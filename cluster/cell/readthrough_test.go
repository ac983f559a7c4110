package cell

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// fixedLister returns a list, or an error.
type fixedLister struct {
	list  []platform.WorkerVM
	err   error
	calls atomic.Int64
}

func (l *fixedLister) ListWorkers(context.Context) ([]platform.WorkerVM, error) {
	l.calls.Add(1)
	return l.list, l.err
}

// Guards against an owner whose link is used up by the list of its workers, and against one that has no list because the
// daemon that reads it for the owner fails.
func TestWorkersAreListedThroughAnotherDaemon(t *testing.T) {
	list := []platform.WorkerVM{
		{
			ID: "w1", Service: testShard.Service, Addr: netip.MustParseAddrPort("127.0.0.1:9"), Zone: "a", Draining: true, Incarnation: 5,
			Capacity: cluster.Resources{CPU: 16 * cluster.Core, Memory: cluster.GiB, Accelerators: 2}, Labels: []string{"kind", "r1"}, EntryVersion: 9,
		},
		{ID: "w2", Service: testShard.Service, Addr: netip.MustParseAddrPort("127.0.0.2:9"), Labels: []string{"r2"}},
		{ID: "w3", Service: "other", Addr: netip.MustParseAddrPort("127.0.0.3:9"), Labels: []string{"r2"}},
	}
	for _, c := range []struct {
		name   string
		err    error
		direct int64
	}{{name: "answered"}, {name: "failed", err: &platform.Error{Op: "test", Kind: platform.KindUnavailable}, direct: 1}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			o, d, near := newForwardingOwner(t, nil)
			near.cfg.Lister = &fixedLister{list: list, err: c.err}
			own := &fixedLister{list: list}
			d.cfg.Lister = own
			workers, total, err := o.readWorkers(t.Context())
			is.NoErr(err)
			is.Equal(total, 3)
			is.Equal(workers, list[:2])
			is.Equal(own.calls.Load(), c.direct)
		})
	}
}

// countingReads counts the reads by their prefix or first key.
type countingReads struct {
	*rowStore
	feeds, rows atomic.Int64
}

func (s *countingReads) Read(ctx context.Context, req platform.ReadRequest) (platform.ReadReply, error) {
	if len(req.Keys) > 0 && strings.HasPrefix(req.Keys[0], jobsPrefix) {
		s.rows.Add(1)
	}
	if len(req.Prefixes) > 0 && strings.HasPrefix(req.Prefixes[0], jobsPrefix) {
		s.feeds.Add(1)
	}
	return s.rowStore.Read(ctx, req)
}

// Guards against an owner that reads each job twice, and against a job that reaches no owner because its announcement
// was lost.
func TestJobFeedBringsWhatWasNotAnnounced(t *testing.T) {
	is := is.New(t)
	rows := &countingReads{rowStore: &rowStore{rows: map[string]platform.Row{}}}
	o, d, _ := newForwardingOwner(t, nil, rows, rows)
	var puts []platform.Put
	for _, id := range []cluster.JobName{"0000000000000001", "0000000000000002"} {
		job := &workload.Job{ID: id, Team: "team", Queue: "q", Terms: workload.Terms{Service: testShard.Service}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
		puts = append(puts, platform.Put{Key: jobKey(1, id), Value: must(workload.EncodeJob(job))})
	}
	for _, put := range puts {
		_, err := d.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{put}})
		is.NoErr(err)
	}
	d.mu.Lock()
	d.ownedShards[testShard] = o
	d.mu.Unlock()
	d.receiveAnnouncement(announcement{Shard: testShard.String(), Keys: []string{puts[0].Key}, Values: [][]byte{puts[0].Value}})
	is.Equal(len(o.events), 1)
	reply, err := o.readJobFeed(1)
	is.NoErr(err)
	is.Equal(len(reply.Rows), 1)
	is.Equal(reply.Rows[0].Key, puts[1].Key)
	is.Equal(rows.rows.Load(), int64(1))
	is.Equal(rows.feeds.Load(), int64(1)) // by the other daemon
	is.True(reply.AsOf >= 2)
}

// Guards against a cancelled job that runs on: its cancellation was announced to the owner, and dropped as that of an
// unknown job, before the feed brought the job.
func TestCancellationOfUnknownJobComesWithJobFeed(t *testing.T) {
	is := is.New(t)
	rows := &rowStore{rows: map[string]platform.Row{}}
	o, d, _ := newForwardingOwner(t, nil, rows, rows)
	job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: testShard.Service}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
	key := jobKey(1, job.ID)
	_, err := d.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: key, Value: must(workload.EncodeJob(job))}, {Key: key + cancelSuffix, Value: []byte{1}}}})
	is.NoErr(err)
	d.mu.Lock()
	d.ownedShards[testShard] = o
	d.mu.Unlock()
	d.receiveAnnouncement(announcement{Shard: testShard.String(), Keys: []string{key + cancelSuffix}, Values: [][]byte{{1}}})
	is.Equal(len(o.events), 1) // the owner does not know the job yet
	reply, err := o.readJobFeed(0)
	is.NoErr(err)
	events := o.decodeJobs(reply, nil).events()
	is.Equal(len(events), 2)
	_, accepted := events[0].(*pool.JobAccepted)
	_, cancelled := events[1].(*pool.JobCancelled)
	is.True(accepted && cancelled)
}

// Guards against a takeover that takes as long as the specifications of all ended jobs need on the owner's link, and
// against a job that is loaded without its specification although it has not ended.
func TestShardIsLoadedThroughAnotherDaemon(t *testing.T) {
	is := is.New(t)
	o, _, near := newForwardingOwner(t, nil, &rowStore{rows: map[string]platform.Row{}}, &rowStore{rows: map[string]platform.Row{}})
	_, err := near.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
	is.NoErr(err)
	const active, ended = cluster.JobName("0000000000000001"), cluster.JobName("0000000000000002")
	for _, id := range []cluster.JobName{active, ended} {
		job := &workload.Job{
			ID: id, Team: "team", Queue: "q", Terms: workload.Terms{Service: testShard.Service}, Spec: strings.Repeat("s", 2000),
			Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}},
		}
		_, err := near.store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{
			{Key: jobKey(1, id), Value: must(workload.EncodeJob(job))}, {Key: jobKey(1, id) + cancelSuffix, Value: []byte{1}},
		}})
		is.NoErr(err)
	}
	records := &loadedRecords{progress: map[cluster.JobName]*workload.Progress{active: {}, ended: {State: workload.StateCompleted}}}
	specs := map[cluster.JobName]int{}
	cancellations := 0
	for part := range jobParts {
		reply, err := o.loadJobPart(part, records)
		is.NoErr(err)
		is.True(reply.AsOf > 0)
		for _, row := range reply.Rows {
			if strings.HasSuffix(row.Key, cancelSuffix) {
				cancellations++
				continue
			}
			id := cluster.JobName(rowName(row.Key))
			job, err := workload.DecodeJob(id, row.Value)
			is.NoErr(err)
			specs[id] = len(job.Spec)
		}
	}
	is.Equal(specs, map[cluster.JobName]int{active: 2000, ended: 0})
	is.Equal(cancellations, 2)
	for _, bad := range []loadRequest{{Part: -1}, {Part: jobParts}, {Shard: maxShards}, {Shard: -1}} {
		_, err := near.serveLoad(t.Context(), bad)
		is.True(IsKind(err, KindMalformed))
	}
}
