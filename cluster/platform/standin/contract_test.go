package standin_test

import (
	"context"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// platformServices holds the interfaces that the contract tests cover; both
// standin.Caller and platform.Client implement them.
type platformServices interface {
	platform.TableService
	platform.ObjectStore
	platform.VMLister
	platform.RackService
}

// testbed is one implementation under test, with the stand-in that it calls and
// the clock of the stand-in.
type testbed struct {
	*is.I
	platformServices
	platform *standin.Platform
	clock    *standin.ManualClock
	ctx      context.Context
}

const (
	rackID = cluster.RackID("n-1-r1")
	w1     = cluster.WorkerID("n-1-r1-w1")
	w2     = cluster.WorkerID("n-1-r1-w2")
	lease  = 20 * time.Second
)

// newPlatform returns a small platform on a manual clock.
func newPlatform() (*standin.Platform, *standin.ManualClock) {
	clock := standin.NewManualClock(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	return standin.New(standin.Config{Cell: standin.Small(), Clock: clock.Now, Seed: 1}), clock
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Runs every contract case on the stand-in itself and on the client over HTTP,
// so that both behave in the same way.
func TestPlatformContract(t *testing.T) {
	for _, c := range append(storeCases, rackCases...) {
		t.Run("memory/"+c.name, func(t *testing.T) {
			p, clock := newPlatform()
			c.run(&testbed{is.New(t), p.Caller(cluster.Place{}), p, clock, t.Context()})
		})
		t.Run("http/"+c.name, func(t *testing.T) {
			p, clock := newPlatform()
			server := httptest.NewServer(standin.NewHandler(p))
			defer server.Close()
			client, err := platform.NewClient(platform.ClientConfig{BaseURL: server.URL, Timeout: time.Minute})
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			c.run(&testbed{is.New(t), client, p, clock, t.Context()})
		})
	}
}

// contractCase is a named test case for any implementation of platformServices.
type contractCase struct {
	name string
	run  func(b *testbed)
}

// putRow writes a row if it has the version check.
func (b *testbed) putRow(key, value string, check cluster.Version) (cluster.Version, error) {
	return b.Commit(b.ctx, platform.Txn{
		Checks: []platform.Check{{Key: key, Version: check}},
		Puts:   []platform.Put{{Key: key, Value: []byte(value)}},
	})
}

// readRows returns the rows under a prefix that changed after a version.
func (b *testbed) readRows(since cluster.Version, prefix string) []platform.Row {
	b.Helper()
	reply, err := b.Read(b.ctx, platform.ReadRequest{Prefixes: []string{prefix}, SinceVersion: since})
	b.NoErr(err)
	return reply.Rows
}

// requireKind checks that err is an error of the given kind.
func (b *testbed) requireKind(err error, kind platform.Kind) {
	b.Helper()
	b.True(platform.IsKind(err, kind))
}

// cancelStalledCall starts a call to a stalled store and cancels it once the store
// has accepted it. It returns the canceled context and the error of the call.
func (b *testbed) cancelStalledCall(call func(ctx context.Context) error) (context.Context, error) {
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	before := b.platform.Stats().StalledCalls
	done := make(chan error, 1)
	go func() { done <- call(ctx) }()
	for b.platform.Stats().StalledCalls == before {
		runtime.Gosched()
	}
	cancel()
	return ctx, <-done
}

var storeCases = []contractCase{
	// Guards against a write that is applied although one of its checks fails,
	// and against a conflict that doesn't name the row.
	{"conflict names the key", func(b *testbed) {
		v, err := b.putRow("a", "1", 0)
		b.NoErr(err)
		_, err = b.Commit(b.ctx, platform.Txn{
			Checks: []platform.Check{{Key: "a", Version: v}, {Key: "b", Version: 7}},
			Puts:   []platform.Put{{Key: "a", Value: []byte("2")}},
		})
		b.requireKind(err, platform.KindConflict)
		var e *platform.Error
		b.True(asError(err, &e))
		b.Equal(e.Key, "b")
		b.Equal(string(b.readRows(0, "a")[0].Value), "1")
	}},
	// Guards against a read since a version that misses a change, a delete or a row
	// that was deleted and created again.
	{"changes and deletes since a version", func(b *testbed) {
		v1, err := b.putRow("x/1", "1", 0)
		b.NoErr(err)
		_, err = b.putRow("x/2", "2", 0)
		b.NoErr(err)
		v3, err := b.Commit(b.ctx, platform.Txn{Deletes: []string{"x/1", "x/absent"}})
		b.NoErr(err)
		rows := b.readRows(v1, "x/")
		b.Equal(len(rows), 2)
		b.Equal(rows[0], platform.Row{Key: "x/1", Version: v3, Deleted: true})
		b.Equal(string(rows[1].Value), "2")
		b.Equal(len(b.readRows(0, "x/")), 1) // a full read has no deleted rows
		v4, err := b.putRow("x/1", "new", 0)
		b.NoErr(err)
		rows = b.readRows(v3, "")
		b.Equal(len(rows), 1)
		b.Equal(rows[0].Version, v4)
		b.True(!rows[0].Deleted)
	}},
	// Guards against a read since an old version that misses deletes without an
	// error, because their tombstones have been removed.
	{"expired version", func(b *testbed) {
		v, err := b.putRow("a", "1", 0)
		b.NoErr(err)
		_, err = b.Commit(b.ctx, platform.Txn{Deletes: []string{"a"}})
		b.NoErr(err)
		b.clock.Advance(2 * time.Hour)
		last, err := b.putRow("b", "1", 0)
		b.NoErr(err)
		_, err = b.Read(b.ctx, platform.ReadRequest{Prefixes: []string{""}, SinceVersion: v})
		b.requireKind(err, platform.KindExpired)
		b.Equal(len(b.readRows(last-1, "")), 1)
	}},
	// Guards against a commit with a lost reply that is reported as not applied
	// although it has been or will be applied.
	{"lost commit replies", func(b *testbed) {
		b.platform.SetFaults(func(f *standin.Faults) { f.LostCommitReplies, f.LostCommitUnapplied = 1, 0 })
		_, err := b.putRow("a", "1", 0)
		b.requireKind(err, platform.KindUnknown)
		b.Equal(len(b.readRows(0, "a")), 1)
		b.platform.SetFaults(func(f *standin.Faults) { f.LostCommitUnapplied = 1 })
		_, err = b.putRow("b", "1", 0)
		b.requireKind(err, platform.KindUnknown)
		b.Equal(len(b.readRows(0, "b")), 0)
		b.platform.SetFaults(func(f *standin.Faults) { f.LostCommitUnapplied, f.LostCommitDelay = 0, time.Second })
		_, err = b.putRow("c", "1", 0)
		b.requireKind(err, platform.KindUnknown)
		b.Equal(len(b.readRows(0, "c")), 0)
		b.clock.Advance(time.Second)
		b.Equal(len(b.readRows(0, "c")), 1)
	}},
	// Guards against a commit to a stalled store that is reported as not applied
	// although the store has accepted it.
	{"stalled store", func(b *testbed) {
		b.platform.SetFaults(func(f *standin.Faults) { f.StoreStalled = true })
		ctx, err := b.cancelStalledCall(func(ctx context.Context) error {
			_, err := b.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: "a"}}})
			return err
		})
		b.requireKind(err, platform.KindUnknown)
		_, err = b.cancelStalledCall(func(ctx context.Context) error {
			_, err := b.Read(ctx, platform.ReadRequest{Keys: []string{"a"}})
			return err
		})
		b.requireKind(err, platform.KindUnavailable)
		_, err = b.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: "a"}}})
		b.requireKind(err, platform.KindUnavailable) // the context was canceled before, so nothing was sent
	}},
	// Guards against an outage that is reported as anything but "nothing applied".
	{"outages", func(b *testbed) {
		b.platform.SetFaults(func(f *standin.Faults) { f.StoreDown, f.ObjectsDown, f.VMListDown = true, true, true })
		_, err := b.putRow("a", "1", 0)
		b.requireKind(err, platform.KindUnavailable)
		_, err = b.Read(b.ctx, platform.ReadRequest{Keys: []string{"a"}})
		b.requireKind(err, platform.KindUnavailable)
		b.requireKind(b.PutObject(b.ctx, "n", nil), platform.KindUnavailable)
		_, err = b.ListVMs(b.ctx)
		b.requireKind(err, platform.KindUnavailable)
		b.platform.SetFaults(func(f *standin.Faults) { *f = standin.DefaultFaults(); f.RacksDown = []cluster.RackID{rackID} })
		b.Equal(len(b.readRows(0, "")), 0)
		_, err = b.Exchange(b.ctx, platform.ExchangeRequest{Rack: rackID, Epoch: 1, Lease: lease})
		b.requireKind(err, platform.KindUnavailable)
	}},
	// Guards against a store that accepts more rows per second than section 3 of
	// the design page allows.
	{"rate limits", func(b *testbed) {
		accepted := 0
		for i := range 10 {
			var txn platform.Txn
			for j := range 100 {
				txn.Puts = append(txn.Puts, platform.Put{Key: string(rune('a'+i)) + "/" + string(rune(0x100+j))})
			}
			_, err := b.Commit(b.ctx, txn)
			if err != nil {
				b.requireKind(err, platform.KindThrottled)
				continue
			}
			accepted++
		}
		b.Equal(accepted, 3)
		for range 7 {
			b.Equal(len(b.readRows(0, "")), 300)
		}
		_, err := b.Read(b.ctx, platform.ReadRequest{Prefixes: []string{""}})
		b.requireKind(err, platform.KindThrottled)
		b.clock.Advance(time.Second)
		b.Equal(len(b.readRows(0, "")), 300)
	}},
	// Guards against object names and contents with special characters that are
	// changed or truncated.
	{"objects", func(b *testbed) {
		b.NoErr(b.PutObject(b.ctx, "notes/1 ä?&", []byte("text\x00")))
		data, err := b.GetObject(b.ctx, "notes/1 ä?&")
		b.NoErr(err)
		b.Equal(string(data), "text\x00")
		_, err = b.GetObject(b.ctx, "notes/2")
		b.requireKind(err, platform.KindNotFound)
		b.requireKind(b.PutObject(b.ctx, "", nil), platform.KindInvalid)
	}},
	// Guards against invalid requests that are executed, in full or in part.
	{"invalid requests", func(b *testbed) {
		_, err := b.Commit(b.ctx, platform.Txn{Puts: []platform.Put{{Key: "a"}}, Deletes: []string{"a"}})
		b.requireKind(err, platform.KindInvalid)
		_, err = b.Commit(b.ctx, platform.Txn{})
		b.requireKind(err, platform.KindInvalid)
		_, err = b.Read(b.ctx, platform.ReadRequest{SinceVersion: 5})
		b.requireKind(err, platform.KindInvalid)
		_, err = b.Exchange(b.ctx, platform.ExchangeRequest{Rack: rackID, Lease: lease})
		b.requireKind(err, platform.KindInvalid)
		_, err = b.Exchange(b.ctx, platform.ExchangeRequest{Rack: "none", Epoch: 1, Lease: lease})
		b.requireKind(err, platform.KindNotFound)
	}},
	// Guards against a VM list that shows a change before the lag has passed, or never.
	{"VM list lags", func(b *testbed) {
		find := func(id string) (found platform.VM) {
			vms, err := b.ListVMs(b.ctx)
			b.NoErr(err)
			for _, vm := range vms {
				if vm.ID == id {
					found = vm
				}
			}
			return found
		}
		b.Equal(find(string(w1)).Rack, rackID)
		b.platform.SetLeaving("echo-01", true)
		b.platform.RemoveVM("echo-02")
		b.True(!find("echo-01").Leaving)
		b.Equal(find("echo-02").Slots, 8)
		b.clock.Advance(5 * time.Second)
		b.True(find("echo-01").Leaving)
		b.Equal(find("echo-02").ID, "")
		b.Equal(find("echo-03").Connections, 64)
	}},
}
