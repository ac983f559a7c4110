package cell

import (
	"context"
	"errors"
	"fmt"
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

// submissionCase is a case of testdata/withdrawals.json or refused-submissions.json: calls for one job at two daemons, one
// after another.
type submissionCase struct {
	Name  string
	Steps []struct {
		// Do is "submit", "cancel", "wait", "count", or a fault: "delay writes" of jobs by Time, which get no reply, until the
		// next submission ends; "write before next": the job is written before the next transaction; "stop part"; "stop
		// store" for a daemon; "fill pool".
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

// storeView is the lateStore as one daemon sees it.
type storeView struct {
	*lateStore
	// away makes the store refuse the transactions of the daemon.
	away bool
}

func (s *storeView) Commit(ctx context.Context, txn platform.Txn) (cluster.Version, error) {
	if s.away {
		return 0, &platform.Error{Op: "test", Kind: platform.KindUnavailable}
	}
	return s.lateStore.Commit(ctx, txn)
}

func kindOf(err error) string {
	var failure *Error
	if errors.As(err, &failure) {
		return kindNames[failure.Kind]
	}
	return map[bool]string{true: "accepted", false: "another error"}[err == nil]
}

// Guards against a job that runs after its cancellation was answered with "no such job", as the write of its submission was
// still to be executed.
func TestCancelledJobIsNotWrittenLater(t *testing.T) { playSubmissions(t, "withdrawals.json") }

// Guards against a job that runs after its submission was refused with "not run", as the write of an earlier submission at
// another daemon was still to be executed.
func TestRefusedJobIsNotWrittenLater(t *testing.T) { playSubmissions(t, "refused-submissions.json") }

func playSubmissions(t *testing.T, file string) {
	for _, c := range readCases[submissionCase](t, file) {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.run) })
	}
}

func (c *submissionCase) run(t *testing.T) {
	const callTime = 3 * time.Second
	is := is.New(t)
	store := &lateStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}
	job := admissionJob()
	var daemons []*Daemon
	var views [2]storeView
	for i := range views {
		views[i].lateStore = store
		d := newTestDaemon(t, &views[i])
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
		case "stop store":
			views[step.Daemon].away = true
		case "fill pool":
			d.cfg.Admission = true
			d.admitter.receive(overloadReport(time.Now()))
		case "count":
			cancellations := 0
			reply, err := store.Read(ctx, platform.ReadRequest{Prefixes: []string{jobTablePrefix(0)}})
			is.NoErr(err)
			for _, row := range reply.Rows {
				if strings.HasSuffix(row.Key, cancelSuffix) {
					cancellations++
				}
			}
			is.Equal(len(reply.Rows)-cancellations, step.Jobs)
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
