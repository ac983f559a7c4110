package cell

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/pool"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// newLoadingOwner returns an owner that can't load its shard until the store is reachable again.
func newLoadingOwner(t *testing.T, store *rowStore, d *Daemon) *ownedShard {
	t.Helper()
	d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
	_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
	if err != nil {
		t.Fatal(err)
	}
	store.setPartsUnreachable(recordPartPrefix(testShard, 0))
	d.claim(testShard, d.owners[testShard])
	o := d.lookupShard(testShard)
	if o == nil {
		t.Fatal("shard not claimed")
	}
	return o
}

// replyLimit is how long the tests wait for a reply of a daemon in the same process.
const replyLimit = 3 * time.Second

// startCall executes a call of another daemon in a goroutine and returns the channel of its result.
func startCall(d *Daemon, method string, request any) <-chan error {
	body := must(encode("test", request))
	result := make(chan error, 1)
	d.wg.Go(func() {
		_, err := d.executeCall("other@1", &peer.Call{ID: 1, Method: method, Body: body})
		result <- err
	})
	return result
}

// awaitReply returns the result of a call and fails the test if there is none within replyLimit.
func awaitReply(t *testing.T, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(replyLimit):
		t.Fatal("no reply")
		return nil
	}
}

// awaitLoad waits until the owner of a shard serves calls.
func awaitLoad(t *testing.T, d *Daemon) {
	t.Helper()
	for startedAt := time.Now(); time.Since(startedAt) < replyLimit; time.Sleep(retryDelay) {
		if awaitReply(t, startCall(d, methodState, &stateRequest{Shard: testShard.String(), ID: string(recordedJob)})) == nil {
			return
		}
	}
	t.Fatal("shard not loaded")
}

// fillEventQueue announces as many cancellations of unknown jobs to the owner of a shard as it queues while it loads.
func fillEventQueue(t *testing.T, d *Daemon) {
	t.Helper()
	a := announcement{Shard: testShard.String()}
	for i := range eventQueueLength {
		a.Keys = append(a.Keys, jobKey(d.shardCount(), cluster.JobName(fmt.Sprintf("%016x", i+100)))+cancelSuffix)
		a.Values = append(a.Values, []byte{1})
	}
	if err := awaitReply(t, startCall(d, methodAnnounce, &a)); err != nil {
		t.Fatal(err)
	}
}

// Guards against an owner that is asked for a share while it loads its shard. If the request and the load wait for each
// other, no job of the shard starts until the process ends, as other daemons see an owner that responds.
func TestShareRequestDoesNotBlockLoad(t *testing.T) {
	is := is.New(t)
	store, d := newThreeShardDaemon(t)
	newLoadingOwner(t, store, d)
	reply := startCall(d, methodTransferShare, &shareRequest{Shard: testShard.String(), To: 1, Team: limitedTeam, Wanted: 100})
	time.Sleep(2 * retryDelay) // until the request has reached the owner
	store.setPartsUnreachable()
	awaitLoad(t, d)
	is.True(IsKind(awaitReply(t, reply), KindUnavailable))
}

// Guards against calls that wait for the load of a shard, which may take as long as the store is down, instead of
// telling the caller that it has to read the store or to ask again.
func TestCallsFailWhileOwnerLoads(t *testing.T) {
	for method, request := range map[string]any{
		methodState:         &stateRequest{Shard: testShard.String(), ID: string(recordedJob)},
		methodPending:       &pendingRequest{Shard: testShard.String()},
		methodTransferShare: &shareRequest{Shard: testShard.String(), To: 1, Team: limitedTeam, Wanted: 100},
	} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			store, d := newThreeShardDaemon(t)
			newLoadingOwner(t, store, d)
			is.True(IsKind(awaitReply(t, startCall(d, method, request)), KindUnavailable))
		})
	}
}

// Guards against submissions that wait for the load of a shard because their daemon is its owner and has announced more
// jobs than it queues.
func TestSubmissionsContinueWhileOwnerLoads(t *testing.T) {
	is := is.New(t)
	store, d := newStoreDaemon(t)
	newLoadingOwner(t, store, d)
	fillEventQueue(t, d)
	job := &workload.Job{ID: recordedJob, Team: "team", Queue: "q", Terms: workload.Terms{Service: testShard.Service}, Steps: []workload.Step{{Tasks: 1, Estimate: time.Second}}}
	d.wg.Go(func() { d.intake.run(jobPart(job.ID)) })
	ctx, cancel := context.WithTimeout(t.Context(), 2*replyLimit)
	defer cancel()
	is.NoErr(d.Submit(ctx, job)) // is announced after the reply
	is.NoErr(d.Submit(ctx, job))
	store.setPartsUnreachable()
	awaitLoad(t, d)
	reply, err := d.ownedState(stateRequest{Shard: testShard.String(), ID: string(job.ID)})
	is.NoErr(err)
	is.True(reply.Known)
}

// teamConfigReader reads configurations that consist of their version. Each has a team that is named after it.
type teamConfigReader struct{ stubConfigReader }

func (teamConfigReader) ReadConfig(data []byte) (*cluster.Snapshot, error) {
	team := &cluster.Team{Name: teamOfVersion(data[0]), Limit: cluster.Resources{CPU: cluster.Core}}
	return cluster.Assemble(cluster.Version(data[0]), []cluster.Entity{team}), nil
}

func teamOfVersion(version byte) cluster.TeamName {
	return cluster.TeamName(fmt.Sprintf("team%d", version))
}

// awaitTeam waits until the scheduler of an owner has the configuration with a team.
func awaitTeam(t *testing.T, o *ownedShard, team cluster.TeamName) {
	t.Helper()
	for startedAt := time.Now(); time.Since(startedAt) < replyLimit; time.Sleep(retryDelay) {
		reduction := 0
		err := o.query(t.Context(), "test", func(s *pool.Scheduler) { reduction = s.ReduceShare(team, 1, time.Now()) })
		if err == nil && reduction == 1 {
			return
		}
	}
	t.Fatalf("%s is not known", team)
}

// Guards against a configuration that is not put in force because an owner that loads its shard does not take the one
// before it, and against an owner that keeps the configuration that it was loaded with.
func TestConfigIsAppliedWhileOwnerLoads(t *testing.T) {
	is := is.New(t)
	store, d := newThreeShardDaemon(t)
	d.cfg.Reader = teamConfigReader{}
	o := newLoadingOwner(t, store, d)
	fillEventQueue(t, d)
	applied := make(chan error, 1)
	d.wg.Go(func() {
		for version := range byte(3) {
			d.applyConfig([]byte{version + 1}, "test")
		}
		applied <- nil
	})
	is.NoErr(awaitReply(t, applied))
	is.Equal(d.Snapshot().Version, cluster.Version(3))
	store.setPartsUnreachable()
	awaitLoad(t, d)
	awaitTeam(t, o, teamOfVersion(3))
	d.applyConfig([]byte{4}, "test")
	awaitTeam(t, o, teamOfVersion(4))
}
