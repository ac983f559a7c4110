package cell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// withdrawalCase is a case of testdata/withdrawals.json: calls for one job at two daemons, one after another.
type withdrawalCase struct {
	Name  string
	Steps []struct {
		// Do is "submit", "cancel", "wait", "count", or a fault: "delay writes" of jobs by Time, which get no reply, until the
		// next call ends; "write before next": the job is written before the next transaction; "stop part".
		Do     string
		Daemon int
		Team   cluster.TeamName
		Time   string
		// Alternate means the alternate part of the job.
		Alternate bool
		// Want is the kind of the error of a call, or "accepted".
		Want string
		// Jobs and Cancellations are the numbers of rows in the store.
		Jobs, Cancellations int
	}
}

// lateStore is a rowStore that executes the writes of jobs late and loses their replies.
type lateStore struct {
	*rowStore

	mu    sync.Mutex
	delay time.Duration
	// next is called before the next transaction.
	next func()
}

func (s *lateStore) set(delay time.Duration, next func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.next = delay, next
}

func (s *lateStore) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	s.mu.Lock()
	delay, next := s.delay, s.next
	s.next = nil
	s.mu.Unlock()
	if next != nil {
		next()
	}
	if delay > 0 && len(txn.Puts) > 0 && !strings.HasSuffix(txn.Puts[0].Key, cancelSuffix) {
		time.AfterFunc(delay, func() { _, _ = s.apply(txn) })
		return 0, &platform.Error{Op: "test", Kind: platform.KindUnknown}
	}
	return s.rowStore.Commit(ctx, txn)
}

func kindOf(err error) string {
	var failure *Error
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &failure):
		return kindNames[failure.Kind]
	}
	return err.Error()
}

// Guards against a job that runs after its cancellation was answered with "no such job", as the write of its submission was
// still to be executed.
func TestCancelledJobIsNotWrittenLater(t *testing.T) {
	data, err := os.ReadFile("testdata/withdrawals.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []withdrawalCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t) })
		})
	}
}

func (c *withdrawalCase) run(t *testing.T) {
	const callTime = 3 * time.Second
	is := is.New(t)
	store := &lateStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}
	job := &workload.Job{ID: "5c0e7a21d94b36f8", Team: limitedTeam, Queue: "queue", Terms: workload.Terms{Service: "s"}, Steps: []workload.Step{{Tasks: 1}}}
	var daemons []*Daemon
	for range 2 {
		d := newTestDaemon(t, store)
		defer d.wg.Wait()
		defer d.stop()
		_, err := d.store.Read(t.Context(), platform.ReadRequest{}) // makes the store reachable
		is.NoErr(err)
		for part := range jobParts {
			d.wg.Go(func() { d.intake.run(part) })
		}
		daemons = append(daemons, d)
	}
	for i, step := range c.Steps {
		d := daemons[step.Daemon]
		part := jobPart(job.ID)
		if step.Alternate {
			part = alternatePart(part)
		}
		key := jobKeyInPart(1, part, job.ID)
		pause, _ := time.ParseDuration(step.Time)
		ctx, cancel := context.WithTimeout(t.Context(), callTime)
		switch step.Do {
		case "submit":
			is.Equal(kindOf(d.Submit(ctx, job)), step.Want)
			store.set(0, nil)
		case "cancel":
			team := job.Team
			if step.Team != "" {
				team = step.Team
			}
			is.Equal(kindOf(d.Cancel(ctx, job.ID, team, job.Queue)), step.Want)
		case "wait":
			time.Sleep(pause)
		case "delay writes":
			store.set(pause, nil)
		case "write before next":
			store.set(0, func() {
				_, err := store.apply(platform.Txn{Puts: []platform.Put{{Key: key, Value: must(workload.EncodeJob(job))}}})
				is.NoErr(err)
			})
		case "stop part":
			store.setPartsUnreachable(strings.TrimSuffix(key, rowName(key)))
		case "count":
			jobs, cancellations := 0, 0
			reply, err := store.Read(ctx, platform.ReadRequest{Prefixes: []string{jobTablePrefix(0)}})
			is.NoErr(err)
			for _, row := range reply.Rows {
				if strings.HasSuffix(row.Key, cancelSuffix) {
					cancellations++
				} else {
					jobs++
				}
			}
			is.Equal(jobs, step.Jobs)
			is.Equal(cancellations, step.Cancellations)
		default:
			t.Fatalf("step %d: unknown step %q", i, step.Do)
		}
		cancel()
	}
}

// Guards against clients that fill the store with the rows of jobs that they cancel and never submit, and against a team
// that takes the cancellations of the others.
func TestWithdrawalsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			seconds = 60
			// maxWithdrawn is what a team may withdraw in that time at the only daemon of a cell.
			maxWithdrawn = int(teamWithdrawalShare*withdrawalRate) * (seconds + int(withdrawalBurstTime/time.Second))
		)
		rows, d := newStoreDaemon(t)
		scope := tally.NewTestScope("", nil)
		d.withdrawals = newWithdrawalLimiter(scope)
		withdrawn, refused := 0, 0
		for i := range 100 * seconds {
			err := d.Cancel(t.Context(), cluster.JobName(fmt.Sprintf("%016x", i)), limitedTeam, "queue")
			if IsKind(err, KindNotFound) {
				withdrawn++
				continue
			}
			is.True(IsKind(err, KindOverloaded))
			refused++
			time.Sleep(10 * time.Millisecond)
		}
		is.True(withdrawn > 0 && withdrawn <= maxWithdrawn)
		is.Equal(len(rows.rows), 2*withdrawn)
		is.Equal(scope.Snapshot().Counters()["job_withdrawal_refusals_total+"].Value(), int64(refused))
		is.True(IsKind(d.Cancel(t.Context(), "5c0e7a21d94b36f8", "other", "queue"), KindNotFound))

		// The owner deletes the rows after their time, but not one that was written again.
		o := newShardOwner(t, d, 0, 1)
		d.wg.Go(o.deleteWithdrawnRows)
		read := func() int {
			reply, err := rows.Read(t.Context(), platform.ReadRequest{Prefixes: []string{jobTablePrefix(0)}})
			is.NoErr(err)
			o.decodeJobs(reply, nil)
			return len(reply.Rows)
		}
		is.Equal(read(), 2*withdrawn+2)
		time.Sleep(withdrawnTime - withdrawnSweepInterval)
		is.Equal(read(), 2*withdrawn+2)
		is.True(IsKind(d.Cancel(t.Context(), "5c0e7a21d94b36f8", "other", "queue"), KindNotFound))
		time.Sleep(2 * withdrawnSweepInterval)
		is.Equal(read(), 2)
		time.Sleep(withdrawnTime + 2*withdrawnSweepInterval)
		is.Equal(read(), 0)
		synctest.Wait()
		is.Equal(len(o.withdrawn.expired(time.Now().Add(withdrawnTime))), 0) // nothing is kept in memory
	})
}

// Guards against a job that runs after its submission was refused with "not run", as the write of an earlier submission at
// another daemon was still to be executed.
func TestRefusedJobIsNotWrittenLater(t *testing.T) {
	for name, kind := range map[string]Kind{"the pool is full": KindRejected, "the store is not available": KindUnavailable} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := &lateStore{rowStore: &rowStore{rows: map[string]platform.Row{}}, delay: 5 * time.Second}
				view := &feedStore{rowStore: store.rowStore}
				daemons := []*Daemon{newTestDaemon(t, store), newTestDaemon(t, view)}
				for _, d := range daemons {
					defer d.wg.Wait()
					defer d.stop()
					d.cfg.Admission = true
					d.store.probe()
					for part := range jobParts {
						d.wg.Go(func() { d.intake.run(part) })
					}
				}
				submit := func(d *Daemon) error {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					return d.Submit(ctx, admissionJob())
				}
				is.True(IsKind(submit(daemons[0]), KindUnknown))
				view.unavailable.Store(kind == KindUnavailable)
				if kind == KindRejected {
					daemons[1].admitter.receive(overloadReport(time.Now()))
				}
				err := submit(daemons[1])
				time.Sleep(10 * time.Second)
				reply, readErr := store.Read(t.Context(), platform.ReadRequest{Prefixes: []string{jobTablePrefix(0)}})
				is.NoErr(readErr)
				is.True(!IsKind(err, kind) || len(reply.Rows) == 0) // a refused job must not be in the store
			})
		})
	}
}
