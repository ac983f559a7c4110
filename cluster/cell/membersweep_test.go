package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// memberSweepCase is a case of testdata/member-sweeps.json: a member during maxMissedSweeps sweeps.
type memberSweepCase struct {
	Name      string
	Candidate bool
	// Unreadable means that its row can't be decoded.
	Unreadable bool
	// Heard means that it is heard in one of the sweeps, Rewritten that its row is written again before the last one.
	Heard, Rewritten bool
	// Owner means that an owner row names it.
	Owner   bool
	Deleted bool
}

// Guards against the deletion of the rows of members that are there or that other daemons have to connect to.
func TestSweepKeepsRowsOfPresentMembers(t *testing.T) {
	for _, c := range readCases[memberSweepCase](t, "member-sweeps.json") {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDaemon(t, &slowStore{})
			vm := vmNames(1, c.Candidate)[0]
			row := platform.Row{Key: memberKey(vm), Version: 3, Value: must(encode("test", &memberRow{ID: vm + "@1"}))}
			if c.Unreadable {
				row.Value = []byte{0xc1}
			}
			if c.Owner {
				d.owners[testShard] = ownership{row: ownerRow{Owner: vm + "@1"}}
			}
			sweep := memberSweep{missed: map[platform.Check]int{}}
			deleted := false
			for i := range maxMissedSweeps {
				if c.Rewritten && i == maxMissedSweeps-1 {
					row.Version++
				}
				heard := c.Heard && i == maxMissedSweeps/2
				txns := sweep.deletions([]platform.Row{row}, func(vm string, row memberRow) bool { return heard || d.isPresent(vm, row) })
				for _, txn := range txns {
					is.Equal(txn.Checks, []platform.Check{{Key: row.Key, Version: row.Version}})
					is.Equal(txn.Deletes, []string{row.Key})
					is.Equal(i, maxMissedSweeps-1)
					deleted = true
				}
			}
			is.Equal(deleted, c.Deleted)
		})
	}
}

// Guards against rows that pile up in the store over the years as VMs are replaced, and against a member that is cut off for
// long and whose row stays away after it has returned.
func TestRowsOfReplacedVMsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			replacedPerHour = 70
			hours           = 3
			// maxRows is the number of rows of the VMs that were replaced within silentTime and two sweeps.
			maxRows = replacedPerHour*int(silentTime+2*memberSweepInterval)/int(time.Hour) + 1
		)
		rows, d, _ := newOwner(t)
		defer d.wg.Wait()
		defer d.stop()
		d.config.Store(&configState{snapshot: cluster.Assemble(1, []cluster.Entity{&cluster.Queue{Name: "queue", Service: testShard.Service}})})
		d.wg.Go(d.sweepMembers)
		d.wg.Go(d.maintainMember)
		for i := range replacedPerHour * hours {
			vm := fmt.Sprintf("gone-%d", i)
			put := platform.Put{Key: memberKey(vm), Value: must(encode("test", &memberRow{ID: vm + "@1"}))}
			_, err := rows.Commit(t.Context(), platform.Txn{Puts: []platform.Put{put}, Deletes: []string{memberKey(d.cfg.VM)}})
			is.NoErr(err)
			time.Sleep(time.Hour / replacedPerHour)
		}
		time.Sleep(memberCheckInterval)
		reply, err := rows.Read(t.Context(), platform.ReadRequest{Prefixes: []string{cellTable + "members", membersTable}})
		is.NoErr(err)
		t.Logf("%d rows are left of %d VMs", len(reply.Rows), replacedPerHour*hours)
		is.True(len(reply.Rows) <= maxRows)
		reply, err = rows.Read(t.Context(), platform.ReadRequest{Keys: []string{memberKey(d.cfg.VM)}})
		is.NoErr(err)
		is.Equal(len(reply.Rows), 1)
	})
}
