package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/goldcrestshift/goldcrestshift/cluster/cell"
	"github.com/goldcrestshift/goldcrestshift/cluster/clientlimit"
	"github.com/goldcrestshift/goldcrestshift/cluster/metrics"
	"github.com/goldcrestshift/goldcrestshift/cluster/paidlink"
	"github.com/goldcrestshift/goldcrestshift/platform"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is set as the
	// soft limit of the garbage collector.
	memoryLimitFraction = 0.6
	// gcPercent is above the default of 100 to save CPU time; memory use is far below the limit.
	gcPercent = 200
	// notReadyDelay is how long new connections still arrive after the daemon reports that it is not
	// ready: the platform probes once a second and stops sending connections after two failures.
	notReadyDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that the shutdown leaves unused, so that it ends before SIGKILL.
	exitMargin = 800 * time.Millisecond
	// settingsInterval is the interval at which the settings file is read again, as it may change without a signal.
	settingsInterval = 2 * time.Second
	// headerTimeout limits the time to read a request's header.
	headerTimeout = 3 * time.Second
	// metricsInterval is the interval at which metrics are reported to the registry.
	metricsInterval = 5 * time.Second
	// maxHeaderBytes limits a request's header. The server adds 4 KiB.
	maxHeaderBytes = 16 << 10
	// maxMetricsReads is the most readings of the metrics at once, each of which collects all of them.
	maxMetricsReads = 4
	// idleTimeout is the time after which an idle connection of a client is closed.
	idleTimeout = 60 * time.Second
)

const (
	// DefaultMetricsPort is the metrics port in deploy/system.toml.
	DefaultMetricsPort = 9464
	// DefaultShardWorkers is the default of Config.ShardWorkers.
	DefaultShardWorkers = cell.DefaultShardWorkers
	// DefaultUseHalfLife is the half-life of the past use of the teams that the operators asked for.
	DefaultUseHalfLife = time.Hour
)

// Config configures Run.
type Config struct {
	// SettingsPath is the path of the platform's settings file.
	SettingsPath string
	// MetricsPort is the port of the metrics endpoint; it listens on the IP address of the peer port.
	MetricsPort uint16
	// ShardWorkers limits the workers of a shard when the cell is divided into shards.
	ShardWorkers int
	// UseHalfLife is the half-life of the past use of the teams; zero turns off the regard to their use.
	UseHalfLife time.Duration
	// AdvertiseAddr is the address at which other daemons reach this one; zero means its listen address.
	AdvertiseAddr netip.AddrPort
	// Admission makes the daemon reject jobs that can't be served while their pool is full.
	Admission bool
	// LogOutput receives the log.
	LogOutput io.Writer
}

// Run runs the daemon until ctx is cancelled and then shuts it down gracefully.
func Run(ctx context.Context, cfg Config) error {
	// SIGHUP is caught until the process ends, because an uncaught SIGHUP during
	// the start or the shutdown would terminate the process.
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	settings, err := platform.LoadSettings(cfg.SettingsPath)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryLimit)))
	debug.SetGCPercent(gcPercent)
	logger := newLogger(cfg.LogOutput, settings.VM)
	defer logger.Close()
	n, err := newNode(settings, cfg, logger)
	if err != nil {
		return err
	}
	n.run(ctx, cfg.SettingsPath, reloadSignals)
	return nil
}

// node is a daemon with its HTTP servers; servers[i] serves listeners[i].
type node struct {
	clients       *clientlimit.Guard
	settings      *platform.Settings
	log           zerolog.Logger
	logger        *logger
	client        *platform.Client
	daemon        *cell.Daemon
	servers       []*http.Server
	listeners     []*clientlimit.Listener
	metricsCloser io.Closer
	wg            conc.WaitGroup
}

func newNode(s *platform.Settings, cfg Config, logger *logger) (*node, error) {
	log := logger.Logger()
	n := &node{settings: s, log: log, logger: logger, client: platform.NewClient()}
	peerListener, err := net.Listen("tcp", s.PeerAddr.String())
	if err != nil {
		return nil, fmt.Errorf("listen for other daemons: %w", err)
	}
	store := &platform.StoreClient{Client: n.client, Addr: s.StoreAddr}
	scope, closer, metricsHandler := metrics.New(log, metricsInterval)
	n.metricsCloser = closer
	limits := clientlimit.Derive(s.MemoryLimit, s.MaxFDs)
	n.clients = clientlimit.NewGuard(clientlimit.GuardConfig{Limits: limits, Log: log, Metrics: scope})
	workers := &platform.WorkerClient{Client: n.client, Log: log}
	advertiseAddr := s.PeerAddr
	if cfg.AdvertiseAddr.IsValid() {
		advertiseAddr = cfg.AdvertiseAddr
	}
	n.daemon, err = cell.New(cell.Config{
		VM: s.VM, Self: cell.NewID(s.VM, time.Now()), Place: s.Place, Cores: s.Cores, LinkRate: s.LinkRate, MaxLease: s.MaxLease,
		EvacuateBound: s.EvacuateBound, ShardWorkers: cfg.ShardWorkers, UseHalfLife: cfg.UseHalfLife, Admission: cfg.Admission, PeerAddr: advertiseAddr,
		Listener: peerListener, MaxPeerConns: limits.PeerConns, MaxPeerHandshakes: limits.PartialConns, MaxIntakeBytes: limits.IntakeBytes, MaxJobBytes: limits.JobBytes,
		Store: store, Lister: workers, Workers: workers, Advice: &platform.AdviceClient{Client: n.client, Addr: s.AdviceAddr},
		Reader: platform.ConfigReader{}, Evacuations: platform.EvacuationReader{},
		Log: log, Metrics: scope, PaidLink: paidlink.New(paidlink.Config{Self: s.Place.Region, Metrics: scope}),
	})
	if err != nil {
		return nil, err
	}
	workers.Table = n.daemon.Store()
	clientAPI := &platform.ClientAPI{
		Cell: n.daemon, Log: log, Now: time.Now, Metrics: scope, Bodies: n.clients.Bodies,
		Limited: func(limit string) { n.clients.Refused(clientlimit.FrontListener, limit) },
	}
	if err := n.listen(clientlimit.FrontListener, s.ClientAPIAddr, clientAPI); err != nil {
		return nil, err
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", clientlimit.Buffered(maxMetricsReads, metricsHandler))
	if err := n.listen(clientlimit.MetricsListener, netip.AddrPortFrom(s.PeerAddr.Addr(), cfg.MetricsPort), clientlimit.SkipBodies(metricsMux)); err != nil {
		return nil, err
	}
	return n, n.listen(clientlimit.ReadyListener, s.ReadyAddr, clientlimit.SkipBodies(http.HandlerFunc(n.serveReadiness)))
}

// listen opens a listener and adds a server that run starts on it.
func (n *node) listen(name clientlimit.ListenerName, addr netip.AddrPort, handler http.Handler) error {
	netListener, err := clientlimit.Listen(addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	listener := n.clients.Wrap(name, netListener)
	n.listeners = append(n.listeners, listener)
	n.servers = append(n.servers, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: listener.ConnState, ConnContext: clientlimit.ConnContext,
	})
	return nil
}

// serveReadiness responds to the platform's readiness probe.
func (n *node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.daemon.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// run serves until ctx is cancelled and then shuts down.
func (n *node) run(ctx context.Context, settingsPath string, reloadSignals <-chan os.Signal) {
	n.log.Info().Str("settings", settingsPath).Str("zone", string(n.settings.Place.Zone)).Msg("node: started")
	n.daemon.Start()
	for i, server := range n.servers {
		n.wg.Go(func() {
			if err := server.Serve(n.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				n.log.Error().Err(err).Msg("node: server failed")
			}
		})
	}
	n.watchSettings(ctx, settingsPath, reloadSignals)
	n.shutdown()
}

// watchSettings reads the settings file again after each SIGHUP and at regular intervals.
func (n *node) watchSettings(ctx context.Context, settingsPath string, reloadSignals <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			n.log.Info().Msg("node: reload requested")
		case <-ticker.C:
		}
		if lines := n.logger.popDropped(); lines > 0 {
			n.log.Warn().Int64("lines", lines).Msg("node: log lines were dropped")
		}
		n.reload(settingsPath)
		n.clients.Report()
	}
}

// reload applies the settings that can change while the daemon runs. If the file
// is invalid, the current settings stay in effect.
func (n *node) reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		n.log.Error().Err(err).Msg("node: invalid settings file; the current settings stay in effect")
		return
	}
	if *s == *n.settings {
		return
	}
	if s.MemoryLimit != n.settings.MemoryLimit {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryLimit)))
	}
	n.clients.SetLimits(clientlimit.Derive(s.MemoryLimit, s.MaxFDs))
	n.settings = s
	n.log.Info().Msg("node: settings changed")
}

// shutdown releases the owned shards, so that other daemons can claim them, and completes the running requests.
func (n *node) shutdown() {
	start := time.Now()
	n.log.Info().Msg("node: stopping")
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.GracePeriod-exitMargin)
	defer cancel()
	n.daemon.Release(ctx)
	select {
	case <-time.After(notReadyDelay - time.Since(start)):
	case <-ctx.Done():
	}
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			n.log.Warn().Err(err).Msg("node: requests were still running at the end of the grace period")
		}
	}
	n.wg.Wait()
	n.daemon.Close()
	n.client.Close()
	if err := n.metricsCloser.Close(); err != nil {
		n.log.Warn().Err(err).Msg("node: failed to report the last metrics")
	}
	n.log.Info().Dur("took", time.Since(start)).Msg("node: stopped")
}
