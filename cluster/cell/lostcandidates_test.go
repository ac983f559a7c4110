package cell

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// lostCandidates is a case of testdata/lost-candidates.json: a cell of which most VMs are gone.
type lostCandidates struct {
	Name string
	// Gone is the number of VMs that are gone, whose rows are in the store.
	Gone int
	// Candidates and Others are the numbers of daemons that are left, of which CutOff candidates don't reach the store.
	Candidates, Others, CutOff int
}

// readCases returns the cases in a file of testdata.
func readCases[T any](t *testing.T, name string) []T {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	var cases []T
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

// vmNames returns the first n names of VMs that are candidates or that are not.
func vmNames(n int, candidates bool) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		if vm := fmt.Sprintf("vm-%d", i); isCandidate(vm) == candidates {
			names = append(names, vm)
		}
	}
	return names
}

// startMember starts a daemon of a cell with one shard.
func startMember(t *testing.T, store platform.TableService, vm string) *Daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := newTestDaemon(t, store)
	d.cfg.VM, d.cfg.Self = vm, NewID(vm, time.Now())
	d.cfg.PeerAddr, d.cfg.Listener = netip.MustParseAddrPort(listener.Addr().String()), listener
	d.cfg.Lister = &scriptedLister{lists: [][]platform.WorkerVM{nil}}
	d.config.Store(&configState{snapshot: cluster.Assemble(1, []cluster.Entity{&cluster.Queue{Name: "queue", Service: testShard.Service}})})
	d.Start()
	t.Cleanup(d.Close)
	return d
}

// Guards against a cell that no daemon schedules for good after many VMs were replaced or removed: the rows of the VMs that
// are gone made it a large one, in which only certain VMs could own shards.
func TestCellIsOwnedAfterCandidatesAreLost(t *testing.T) {
	for _, c := range readCases[lostCandidates](t, "lost-candidates.json") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			store := &feedStore{rowStore: &rowStore{rows: map[string]platform.Row{}}}
			for i := range c.Gone {
				vm := fmt.Sprintf("gone-%d", i)
				row := memberRow{ID: string(NewID(vm, time.UnixMilli(1))), Addr: "127.0.0.1:1", Cores: 1}
				_, err := store.Commit(t.Context(), platform.Txn{Puts: []platform.Put{{Key: memberKey(vm), Value: must(encode("test", &row))}}})
				is.NoErr(err)
			}
			var daemons []*Daemon
			for i, vm := range append(vmNames(c.Candidates, true), vmNames(c.Others, false)...) {
				view := &feedStore{rowStore: store.rowStore}
				daemons = append(daemons, startMember(t, view, vm))
				if i < c.CutOff {
					waitUntil(t, daemons[i].store.reachable)
					view.unavailable.Store(true)
				}
			}
			for len(daemons) > c.CutOff {
				owner := -1
				waitUntil(t, func() bool {
					for i, d := range daemons {
						if d.lookupShard(testShard) != nil {
							owner = i
						}
					}
					return owner >= 0
				})
				for i, d := range daemons {
					waitUntil(t, func() bool {
						return i < c.CutOff || i == owner || time.Since(d.transport.LastSeen(daemons[owner].cfg.Self)) < peerTimeout
					})
				}
				// The next one has to replace it.
				daemons[owner].Close()
				daemons = append(daemons[:owner:owner], daemons[owner+1:]...)
			}
		})
	}
}
