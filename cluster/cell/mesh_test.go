package cell

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// memberRows returns the member rows of a cell in which every second VM has more cores.
func memberRows(n int) map[string]memberRow {
	rows := map[string]memberRow{}
	for i := range n {
		vm := fmt.Sprintf("vm-%d", i)
		rows[vm] = memberRow{ID: vm + daemonSeparator + "1", Cores: 0.2 + 0.6*float64(i%2), candidate: isCandidate(vm)}
	}
	return rows
}

// responds is the state of members that are not silent.
func responds(memberRow) bool { return false }

// Guards against a number of pings that grows with the square of the number of members, and against a daemon
// that is not connected to the owner of a shard.
func TestConnectedMembers(t *testing.T) {
	for _, n := range []int{7, 42, 300, 600} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			rows := memberRows(n)
			owner := ""
			for vm, m := range rows {
				if isCandidate(vm) && m.Cores < 0.5 {
					owner = m.ID
				}
			}
			list := connectedMembers(rows, map[string]bool{owner: true}, responds)
			if n < 64 {
				is.Equal(len(list), n)
				return
			}
			is.True(isLargeCell(rows))
			is.True(slices.ContainsFunc(list, func(o memberRow) bool { return o.ID == owner }))
			is.True(len(list) <= numHubs+1)
			for _, m := range list {
				is.True(m.Cores > 0.5 || m.ID == owner) // hubs have the most cores
			}
		})
	}
}

// Guards against daemons of a large cell that read the rows of all other daemons.
func TestLargeCellKeepsCandidatesOnly(t *testing.T) {
	is := is.New(t)
	d := newTestDaemon(t, &slowStore{})
	defer d.stop()
	d.transport = peer.New(peer.Config{Self: peer.Hello{From: d.cfg.Self}, Log: zerolog.Nop(), Handler: d.handleMessage, Digest: d.digest})
	defer d.transport.Close()
	var candidates, others []platform.Row
	for vm, m := range memberRows(300) {
		row := platform.Row{Key: memberKey(vm), Value: must(encode("test", &m))}
		if isCandidate(vm) {
			candidates = append(candidates, row)
		} else {
			others = append(others, row)
		}
	}
	is.True(len(candidates) < 100)
	is.True(!d.applyCellRows(candidates[:10], true, cellTable))
	is.True(!d.applyCellRows(others, true, membersTable))
	is.Equal(len(d.members), 10+len(others))
	is.True(d.applyCellRows(candidates[10:], false, cellTable))
	is.Equal(len(d.members), len(candidates))
	is.Equal(d.isStandIn(), !isCandidate(d.cfg.VM))
}
