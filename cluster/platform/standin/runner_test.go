package standin_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// runnerTestbed is a runner with an HTTP client; requests with a processing time
// wait until releaseWork is closed.
type runnerTestbed struct {
	*is.I
	runner *standin.Runner
	client *http.Client
	ctx    context.Context
	// releaseWork ends the processing of all requests when it is closed.
	releaseWork chan struct{}
}

func newRunnerTestbed(t *testing.T) *runnerTestbed {
	b := &runnerTestbed{I: is.New(t), ctx: t.Context(), releaseWork: make(chan struct{})}
	r, err := standin.StartRunner(standin.RunnerConfig{
		ID: "echo-01", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Slots: 2,
		Sleep: func(ctx context.Context, _ time.Duration) error {
			select {
			case <-b.releaseWork:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	})
	b.NoErr(err)
	transport := &http.Transport{}
	b.runner, b.client = r, &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	t.Cleanup(r.Close)
	return b
}

// post sends a POST request, which the transport doesn't retry.
func (b *runnerTestbed) post(ctx context.Context, body, work string) (*http.Response, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.runner.Addr().String()+"/x", strings.NewReader(body))
	b.NoErr(err)
	req.Header.Set(standin.HeaderWork, work)
	resp, err := b.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// Guards against a crash that the client receives as a complete reply, and against
// a wrong record of the executed requests.
func TestRunnerCrashes(t *testing.T) {
	for _, c := range []struct {
		name     string
		faults   standin.RunnerFaults
		executed int
	}{
		{"before", standin.RunnerFaults{Crash: standin.CrashBefore, CrashCount: 1}, 0},
		{"during", standin.RunnerFaults{Crash: standin.CrashDuring, CrashCount: 1}, 1},
		{"after", standin.RunnerFaults{Crash: standin.CrashAfter, CrashCount: 1}, 1},
		{"truncated", standin.RunnerFaults{Truncate: true}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newRunnerTestbed(t)
			b.runner.SetFaults(func(f *standin.RunnerFaults) { *f = c.faults })
			_, _, err := b.post(b.ctx, "booking", "0s")
			b.True(err != nil)
			b.Equal(len(b.runner.Executions()), c.executed)
			b.runner.SetFaults(func(f *standin.RunnerFaults) { f.Truncate = false })
			_, body, err := b.post(b.ctx, "booking", "0s")
			b.NoErr(err)
			b.Equal(body, "booking")
		})
	}
}

// Guards against a request that is executed although all slots are in use, or
// refused without the header that says that it was not executed.
func TestRunnerSlots(t *testing.T) {
	b := newRunnerTestbed(t)
	done := make(chan error, 2)
	for range 2 {
		go func() {
			_, _, err := b.post(b.ctx, "slow", "1s")
			done <- err
		}()
	}
	for b.runner.Stats().Executed < 2 {
		runtime.Gosched()
	}
	b.runner.SetFaults(func(f *standin.RunnerFaults) { f.Leaving = true })
	resp, _, err := b.post(b.ctx, "third", "0s")
	b.NoErr(err)
	b.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	b.Equal(resp.Header.Get(standin.HeaderRun), "no")
	b.Equal(resp.Header.Get(standin.HeaderLeaving), "true")
	close(b.releaseWork)
	b.NoErr(<-done)
	b.NoErr(<-done)
	b.Equal(b.runner.Stats(), standin.RunnerStats{Executed: 2, Refused: 1, PeakInFlight: 2, PeakConnections: 3})
}

// Guards against a reply on a stalled connection, and against new connections that
// are stalled too.
func TestRunnerStalledConnections(t *testing.T) {
	for _, runOnStalled := range []bool{false, true} {
		b := newRunnerTestbed(t)
		_, _, err := b.post(b.ctx, "first", "0s")
		b.NoErr(err)
		b.runner.SetFaults(func(f *standin.RunnerFaults) { f.RunOnStalledConns = runOnStalled })
		b.runner.StallConnections()
		ctx, cancel := context.WithCancel(b.ctx)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			_, _, err := b.post(ctx, "second", "0s")
			done <- err
		}()
		for b.runner.Stats().StalledRequests == 0 {
			select {
			case err := <-done:
				t.Fatalf("a request on a stalled connection ended: %v", err)
			default:
				runtime.Gosched()
			}
		}
		cancel()
		b.True(<-done != nil)
		b.Equal(len(b.runner.Executions()) == 2, runOnStalled)
		_, body, err := b.post(b.ctx, "third", "0s")
		b.NoErr(err)
		b.Equal(body, "third")
	}
}

// Guards against a killed runner that still replies, or that listens at another
// address after a restart.
func TestRunnerRestart(t *testing.T) {
	b := newRunnerTestbed(t)
	addr := b.runner.Addr()
	b.runner.Kill()
	_, _, err := b.post(b.ctx, "x", "0s")
	b.True(err != nil)
	b.NoErr(b.runner.Restart())
	b.Equal(b.runner.Addr(), addr)
	_, _, err = b.post(b.ctx, "x", "0s")
	b.NoErr(err)
}

// Guards against runners of a cell whose addresses are missing in the VM list.
func TestStartRunnersListsAddresses(t *testing.T) {
	is := is.New(t)
	p, _ := newPlatform()
	runners, err := standin.StartRunners(p, netip.MustParseAddr("127.0.0.1"), 0, 0)
	is.NoErr(err)
	defer runners.Close()
	vms, err := p.Caller(p.Cell().Places()[0]).ListVMs(t.Context())
	is.NoErr(err)
	for _, vm := range vms {
		if vm.Service != "" {
			is.Equal(runners.Get("echo-01").ID(), "echo-01")
			is.True(vm.Addr.Port() != 0)
		}
	}
	is.Equal(len(runners.All()), 4)
}
