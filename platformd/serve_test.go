package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// Guards against invalid settings that are accepted and fail later, and against
// errors that don't say which values are allowed.
func TestSettingErrors(t *testing.T) {
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"--cell", "large"}, `--cell or PLATFORMD_CELL: "large" is not allowed; use one of erzaehlwerk, caroni-vale, small, target`},
		{[]string{"--workers", "-1"}, `--workers or PLATFORMD_WORKERS: "-1" is not allowed; use a number from 0 to 10000`},
		{[]string{"--workers", "10001"}, "a number from 0 to 10000"},
		{[]string{"--runners", "1001"}, `--runners or PLATFORMD_RUNNERS: "1001" is not allowed; use a number from 0 to 1000`},
		{[]string{"--runners", "100", "--runner-port", "65436"}, "a number from 0 to 65435"},
		{[]string{"--listen", "localhost"}, "PLATFORMD_LISTEN"},
		{[]string{"--admin-listen", "127.0.0.1"}, "PLATFORMD_ADMIN_LISTEN"},
		{[]string{"--runner-host", "runner"}, "PLATFORMD_RUNNER_HOST"},
		{[]string{"--runner-port", "65535"}, "a number from 0 to 65531"},
		{[]string{"--runner-work", "-1s"}, "PLATFORMD_RUNNER_WORK"},
		{[]string{"--time-scale", "0"}, "above 0"},
		{[]string{"--seed", "7x"}, "seed"},
		{[]string{"--entry", "entry-1=elsewhere=127.0.0.1:1"}, "zone of the cell"},
		{[]string{"--entry", "entry-1=n-1=127.0.0.1"}, "PLATFORMD_ENTRY"},
		{[]string{"--log-level", "loud"}, "PLATFORMD_LOG_LEVEL"},
		{[]string{"--unknown"}, "unknown flag"},
		{[]string{"extra"}, "unknown command"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			var stderr bytes.Buffer
			is.Equal(execute(t.Context(), append([]string{"serve"}, c.args...), io.Discard, &stderr), exitUsage)
			is.True(strings.Contains(stderr.String(), c.want))
		})
	}
}

// Guards against environment variables that are ignored.
func TestSettingsFromEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("PLATFORMD_CELL", "caroni-vale")
	t.Setenv("PLATFORMD_TIME_SCALE", "0.5")
	t.Setenv("PLATFORMD_WORKERS", "56")
	t.Setenv("PLATFORMD_ENTRY", "a=ttn-1=127.0.0.1:1,b=tts-1=127.0.0.1:2")
	cmd := newServeCmd()
	is.NoErr(cmd.ParseFlags([]string{"--seed", "7", "--runners", "3"}))
	s, err := loadSettings(cmd)
	is.NoErr(err)
	is.Equal(s.cell.Name, "caroni-vale")
	is.Equal(s.timeScale, 0.5)
	is.Equal(s.cell.Workers, 56)
	is.Equal(s.cell.Runners, 3)
	is.Equal(s.seed, uint64(7))
	is.Equal(len(s.entries), 2)
	is.Equal(s.entries[1].place, cluster.Place{Region: "tt-south", Zone: "tts-1"})
}

// Guards against a cell without workers or runners: a size of 0, the default, must
// keep the number of the cell.
func TestDefaultCellSize(t *testing.T) {
	is := is.New(t)
	cmd := newServeCmd()
	is.NoErr(cmd.ParseFlags([]string{"--cell", "target"}))
	s, err := loadSettings(cmd)
	is.NoErr(err)
	is.Equal(s.cell.Workers, 590)
	is.Equal(s.cell.Runners, 50)
}

// logLines is a writer that splits the log of a running command into lines.
type logLines struct {
	mu sync.Mutex
	// partial is the start of a line whose end has not been written yet.
	partial []byte
	lines   chan []byte
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial = append(l.partial, b...)
	for {
		line, rest, ok := bytes.Cut(l.partial, []byte("\n"))
		if !ok {
			return len(b), nil
		}
		l.partial = rest
		l.lines <- bytes.Clone(line)
	}
}

// Guards against a server that doesn't list its entry VMs, ignores changes to its
// faults, or can't be stopped while a call hangs.
func TestServe(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	logs := &logLines{lines: make(chan []byte, 1000)}
	done := make(chan int, 1)
	go func() {
		done <- execute(ctx, []string{
			"serve", "--listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0", "--entry", "entry-1=n-1=127.0.0.1:7100",
		}, io.Discard, logs)
	}()
	var startLine struct{ Listen, Admin string }
	is.NoErr(json.Unmarshal(<-logs.lines, &startLine))
	client, err := platform.NewClient(platform.ClientConfig{BaseURL: "http://" + startLine.Listen})
	is.NoErr(err)
	defer client.Close()
	admin := func(method, path, body string) {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+startLine.Admin+path, strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	admin("PATCH", "/admin/faults", `{"vmListLag":"0s"}`)
	vms, err := client.ListVMs(t.Context())
	is.NoErr(err)
	is.Equal(len(vms), 16+4+1)
	admin("PATCH", "/admin/faults", `{"storeSilent":true}`)
	commitErr := make(chan error, 1)
	go func() {
		_, err := client.Commit(context.Background(), platform.Txn{Puts: []platform.Put{{Key: "a"}}})
		commitErr <- err
	}()
	cancel()
	is.Equal(<-done, exitOK)
	is.True(<-commitErr != nil)
}
