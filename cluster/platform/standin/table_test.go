package standin_test

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// follower maintains a copy of the table by reading the changes since its last read.
type follower struct {
	rows map[string]string
	asOf cluster.Version
}

// poll applies the changes since the last read, or reads all rows again if the
// version has expired.
func (f *follower) poll(t *rapid.T, store platform.TableService) {
	reply, err := store.Read(context.Background(), platform.ReadRequest{Prefixes: []string{""}, SinceVersion: f.asOf})
	if platform.IsKind(err, platform.KindExpired) {
		*f = follower{rows: map[string]string{}}
		f.poll(t, store)
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range reply.Rows {
		if r.Deleted {
			delete(f.rows, r.Key)
			continue
		}
		f.rows[r.Key] = string(r.Value)
	}
	f.asOf = reply.AsOf
}

// Guards against a read since a version that misses a change or a delete after
// garbage collection of tombstones and log entries, and against a check that
// holds for a wrong version.
func TestFollowersMatchTable(t *testing.T) {
	// Use a fixed seed unless the flag sets another one.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("1"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		clock := standin.NewManualClock(time.Unix(1_700_000_000, 0))
		faults := standin.DefaultFaults()
		faults.WriteRate, faults.ReadRate = 1e9, 1e9
		store := standin.New(standin.Config{Cell: standin.Small(), Clock: clock.Now, Faults: &faults}).Caller(cluster.Place{})
		model, versions := map[string]string{}, map[string]cluster.Version{}
		followers := []*follower{{rows: map[string]string{}}, {rows: map[string]string{}}}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			version, value := versions[key], fmt.Sprint(step)
			txn := platform.Txn{Checks: []platform.Check{{Key: key, Version: version}}}
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				txn.Puts = []platform.Put{{Key: key, Value: []byte(value)}}
				v, err := store.Commit(context.Background(), txn)
				if err != nil {
					t.Fatal(err)
				}
				model[key], versions[key] = value, v
			case 2:
				txn.Deletes = []string{key}
				if _, err := store.Commit(context.Background(), txn); err != nil {
					t.Fatal(err)
				}
				delete(model, key)
				delete(versions, key)
			case 3:
				txn.Checks[0].Version += 1000
				txn.Deletes = []string{key}
				if _, err := store.Commit(context.Background(), txn); !platform.IsKind(err, platform.KindConflict) {
					t.Fatalf("commit with a wrong version: %v", err)
				}
			case 4:
				clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "minutes")) * time.Minute)
			case 5:
				followers[rapid.IntRange(0, 1).Draw(t, "follower")].poll(t, store)
			}
		}
		for i, f := range followers {
			f.poll(t, store)
			if !maps.Equal(f.rows, model) {
				t.Fatalf("follower %d has %v, the table %v", i, f.rows, model)
			}
		}
	})
}

// Guards against an unlimited number of tombstones when many rows are deleted
// within tombstoneAge.
func TestTombstoneLimit(t *testing.T) {
	is := is.New(t)
	faults := standin.DefaultFaults()
	faults.WriteRate = 1e9
	clock := standin.NewManualClock(time.Unix(1_700_000_000, 0))
	store := standin.New(standin.Config{Cell: standin.Small(), Clock: clock.Now, Faults: &faults}).Caller(cluster.Place{})
	version := cluster.Version(0)
	for i := range 60 {
		var create, remove platform.Txn
		for j := range 1000 {
			key := fmt.Sprint(i, "/", j)
			create.Puts = append(create.Puts, platform.Put{Key: key})
			remove.Deletes = append(remove.Deletes, key)
		}
		for _, txn := range []platform.Txn{create, remove} {
			v, err := store.Commit(t.Context(), txn)
			is.NoErr(err)
			version = v
		}
	}
	_, err := store.Read(t.Context(), platform.ReadRequest{Prefixes: []string{""}, SinceVersion: 2})
	is.True(platform.IsKind(err, platform.KindExpired))
	reply, err := store.Read(t.Context(), platform.ReadRequest{Prefixes: []string{""}, SinceVersion: version - 1})
	is.NoErr(err)
	is.Equal(len(reply.Rows), 1000)
}

// Guards against calls that don't wait for the latency between the places, and
// against calls that succeed between partitioned regions.
func TestLatenciesAndPartitions(t *testing.T) {
	is := is.New(t)
	slept := time.Duration(0)
	p := standin.New(standin.Config{
		Cell:  standin.Erzaehlwerk(),
		Sleep: func(_ context.Context, d time.Duration) error { slept += d; return nil },
	})
	near := p.Caller(cluster.Place{Region: "deutschschweiz", Zone: "ds-2"})
	far := p.Caller(cluster.Place{Region: "romandie", Zone: "ro-1"})
	read := func(c *standin.Caller) (time.Duration, error) {
		slept = 0
		_, err := c.Read(t.Context(), platform.ReadRequest{Keys: []string{"a"}})
		return slept, err
	}
	exchange := func(c *standin.Caller, rack cluster.RackID) (time.Duration, error) {
		slept = 0
		_, err := c.Exchange(t.Context(), platform.ExchangeRequest{Rack: rack, Epoch: 1, Lease: lease})
		return slept, err
	}
	d, err := read(near)
	is.NoErr(err)
	is.Equal(d, 2*time.Millisecond)
	d, err = read(far)
	is.NoErr(err)
	is.Equal(d, 60*time.Millisecond)
	slept = 0
	_, err = far.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: "a"}}})
	is.NoErr(err)
	is.Equal(slept, 60*time.Millisecond)
	d, err = exchange(far, "ds-1-r1")
	is.NoErr(err)
	is.Equal(d, 60*time.Millisecond)
	d, err = exchange(far, "ro-1-r1")
	is.NoErr(err)
	is.Equal(d, time.Duration(0))
	p.SetFaults(func(f *standin.Faults) { f.PartitionedRegions = []cluster.Region{"romandie"} })
	_, err = read(far)
	is.True(platform.IsKind(err, platform.KindUnavailable))
	_, err = exchange(near, "ro-1-r1")
	is.True(platform.IsKind(err, platform.KindUnavailable))
	_, err = exchange(far, "ro-1-r1")
	is.NoErr(err)
	_, err = read(near)
	is.NoErr(err)
}
