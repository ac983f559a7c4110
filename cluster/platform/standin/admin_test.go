package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// Guards against settings that can't be changed at run time, and against a
// PATCH request that resets the fields that are missing in its body.
func TestAdminHandler(t *testing.T) {
	is := is.New(t)
	p, _ := newPlatform()
	runners, err := standin.StartRunners(p, netip.MustParseAddr("127.0.0.1"), 0, 0)
	is.NoErr(err)
	defer runners.Close()
	handler := standin.NewAdminHandler(p, runners)
	send := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		data, err := io.ReadAll(w.Result().Body)
		is.NoErr(err)
		return w.Code, string(data)
	}
	cases := []struct {
		method, path, body string
		status             int
		reply              string
	}{
		{"PATCH", "/admin/faults", `{"storeDelay":"2s","cutRegions":["south"]}`, 200, `"storeDelay":"2s"`},
		{"PATCH", "/admin/faults", `{"lostAnswers":0.25}`, 200, `"storeDelay":"2s"`},
		{"PATCH", "/admin/faults", `{"lostAnswers":2}`, 400, "probability"},
		{"PATCH", "/admin/faults", `{"storeDelay":2}`, 400, "invalid"},
		{"PATCH", "/admin/workers/n-1-r1-w1/faults", `{"paused":true}`, 200, `"paused":true`},
		{"GET", "/admin/workers/n-1-r1-w1/faults", "", 200, `"paused":true`},
		{"PATCH", "/admin/workers/none/faults", `{}`, 404, "none"},
		{"POST", "/admin/entries", `{"id":"entry-1","zone":"n-1","addr":"127.0.0.1:7000"}`, 200, "entry-1"},
		{"POST", "/admin/entries", `{"id":"entry-1","zone":"x","addr":"127.0.0.1:7000"}`, 400, "zone"},
		{"POST", "/admin/vms", `{"id":"w","role":"worker"}`, 400, "rack"},
		{"POST", "/admin/vms", `{"id":"w","role":"worker","rack":"n-1-r9"}`, 200, "n-1-r9"},
		{"PUT", "/admin/vms/echo-01/leaving", "", 200, "leaving=true"},
		{"DELETE", "/admin/vms/echo-02", "", 200, "removed"},
		{"DELETE", "/admin/vms/echo-02", "", 404, "echo-02"},
		{"GET", "/admin/vms", "", 200, `"leaving":true`},
		{"PATCH", "/admin/runners/echo-01/faults", `{"crash":"before","late":"1s"}`, 200, `"late":"1s"`},
		{"PATCH", "/admin/runners/echo-01/faults", `{"crash":"sometimes"}`, 400, "sometimes"},
		{"POST", "/admin/runners/echo-01/kill", "", 200, "kill"},
		{"POST", "/admin/runners/echo-01/restart", "", 200, "restart"},
		{"POST", "/admin/runners/echo-01/silence", "", 200, "silence"},
		{"POST", "/admin/runners/echo-01/paint", "", 400, "paint"},
		{"GET", "/admin/runners", "", 200, `"crash":"before"`},
		{"GET", "/admin/runners/echo-01/executions", "", 200, "[]"},
		{"GET", "/admin/stats", "", 200, `"overlaps":0`},
		{"GET", "/admin/attempts", "", 200, "[]"},
	}
	for _, c := range cases {
		status, reply := send(c.method, c.path, c.body)
		if status != c.status || !strings.Contains(reply, c.reply) {
			t.Errorf("%s %s %s: %d %s", c.method, c.path, c.body, status, reply)
		}
	}
	f := p.Faults()
	is.Equal(f.StoreDelay, 2*time.Second)
	is.Equal(f.LostCommitReplies, 0.25)
	is.Equal(len(f.PartitionedRegions), 1)
	_, err = http.Get("http://" + runners.Get("echo-02").Addr().String())
	is.True(err != nil) // a removed runner doesn't listen any more
}
