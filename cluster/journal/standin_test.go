package journal_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// Guards against a change that is reported as applied but is not, or as not
// applied but is, when replies are lost and commits are applied late.
func TestReportedResultsMatchTheStandin(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkReportedResults(t, seed) })
		})
	}
}

func checkReportedResults(t *testing.T, seed uint64) {
	is := is.New(t)
	p := standin.New(standin.Config{Cell: standin.Erzaehlwerk(), Seed: seed})
	store := p.Caller(cluster.Place{Region: "romandie", Zone: "ro-1"})
	j := journal.New(journal.Config{Store: store, Writer: "d1"})
	rng := rand.New(rand.NewPCG(seed, 1))
	results := make([]error, 300)
	var wg sync.WaitGroup
	for i := range results {
		if i%30 == 0 {
			p.SetFaults(func(f *standin.Faults) {
				*f = standin.DefaultFaults()
				f.StoreDown = rng.IntN(5) == 0
				f.LostCommitReplies = rng.Float64() / 2
				f.LostCommitDelay = time.Duration(rng.IntN(4)) * 500 * time.Millisecond
				f.StoreDelay = time.Duration(rng.IntN(5)) * time.Second
			})
		}
		wg.Add(1)
		key := fmt.Sprintf("job/t/%d", i)
		change := journal.Change{Checks: []platform.Check{{Key: key}}, Puts: []platform.Put{{Key: key}}}
		j.Submit(change, func(_ cluster.Version, err error) {
			results[i] = err
			wg.Done()
		})
		pause := time.Duration(rng.IntN(200)) * time.Millisecond
		if rng.IntN(5) == 0 {
			// Long enough for a delayed transaction to be applied before the next one.
			pause = 5 * time.Second
		}
		time.Sleep(pause)
	}
	p.SetFaults(func(f *standin.Faults) { *f = standin.DefaultFaults() })
	wg.Wait()
	j.Close()
	time.Sleep(time.Minute)
	reply, err := store.Read(context.Background(), platform.ReadRequest{Prefixes: []string{"job/"}})
	is.NoErr(err)
	applied := map[string]bool{}
	for _, r := range reply.Rows {
		applied[r.Key] = true
	}
	for i, err := range results {
		key := fmt.Sprintf("job/t/%d", i)
		switch {
		case err == nil && !applied[key]:
			t.Errorf("%s was reported as applied but its row is missing", key)
		case err != nil && !journal.IsKind(err, journal.KindUnavailable):
			t.Errorf("%s: %v", key, err)
		case err != nil && applied[key]:
			t.Errorf("%s was reported as failed with %v but was applied", key, err)
		}
	}
	t.Logf("%d of %d changes applied, %d replies lost", len(applied), len(results), p.Stats().LostReplies)
}
