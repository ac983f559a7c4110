package gateway

import (
	"testing"
)

// Guards against a keyed request that doesn't reach a runner or whose answer doesn't come back.
func TestRouteKeyedRequest(t *testing.T) {
	runCell(t, cellOptions{daemons: 2, runners: 3}, func(c *testCell) {
		w := c.ask(0, "POST", "/interviews?year=2026", "hello")
		c.is.Equal(w.Body.String(), "POST /interviews?year=2026 hello")
		c.is.Equal(w.Code, 200)
	})
}
