package cell

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against pings that grow with the square of the members, and against a
// daemon that is not connected to the owner of a pool.
func TestConnectedMembers(t *testing.T) {
	for _, n := range []int{7, meshMembers, meshMembers + 1, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			var members []memberRow
			for i := range n {
				m := memberRow{ID: fmt.Sprintf("vm-%d@1", i), Cores: 0.2}
				if i%2 == 0 {
					m.Cores = 0.8
				}
				members = append(members, m)
			}
			owner := members[1].ID
			owners := map[string]bool{owner: true}
			connections, hubs := 0, 0
			for _, m := range members {
				list := connectedMembers(m.ID, slices.Clone(members), owners)
				is.True(slices.ContainsFunc(list, func(o memberRow) bool { return o.ID == owner }))
				connections += len(list)
				if len(list) == n {
					hubs++
					is.True(n <= meshMembers || m.Cores > 0.2 || m.ID == owner) // hubs have the most processor
				}
			}
			if n <= meshMembers {
				is.Equal(connections, n*n)
				return
			}
			is.Equal(hubs, hubMembers+1)
			is.True(connections <= n*(2*hubMembers+2))
		})
	}
}
