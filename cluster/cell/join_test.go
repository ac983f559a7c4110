package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Guards against a member row of an earlier process of the VM that the store writes late: the other daemons would take the
// present process for one that has stopped, and claim its shards while it runs.
func TestLateMemberRowDoesNotReplaceLaterProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rows, earlier := newStoreDaemon(t)
		later := newTestDaemon(t, rows)
		later.cfg.Self = cluster.DaemonID(later.cfg.VM + daemonSeparator + "2")
		defer later.wg.Wait()
		defer later.stop()
		rows.commitDelay = 3 * time.Second // only the first write is late
		earlier.wg.Go(earlier.joinCell)
		synctest.Wait()
		earlier.stop()
		earlier.wg.Wait()
		later.joinCell()
		time.Sleep(5 * time.Second)
		reply, err := rows.Read(t.Context(), platform.ReadRequest{Keys: []string{memberKey(later.cfg.VM)}})
		is.NoErr(err)
		is.Equal(len(reply.Rows), 1)
		row, err := decode[memberRow]("test", reply.Rows[0].Value)
		is.NoErr(err)
		is.Equal(row.ID, string(later.cfg.Self))
	})
}
