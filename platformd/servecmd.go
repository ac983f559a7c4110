package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/invariant"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

const (
	// shutdownTimeout limits the wait for calls in flight at shutdown.
	shutdownTimeout = 5 * time.Second
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
)

func newServeCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve the platform of a cell over HTTP",
		Long: `Serve the table service, the object store, the VM list and the workers of a
cell, and run its runners. Every setting is also read from an environment
variable: --admin-listen from PLATFORMD_ADMIN_LISTEN and so on.`,
		Example: `  platformd serve --cell erzaehlwerk --entry entry-1=ds-1=127.0.0.1:7100
  curl -X PATCH -d '{"storeDown":true}' http://127.0.0.1:7071/admin/faults`,
		Args: cobra.NoArgs,
		RunE: runServeCmd,
	}
	addServeFlags(cmd)
	return cmd
}

func runServeCmd(cmd *cobra.Command, _ []string) error {
	s, err := loadSettings(cmd)
	if err != nil {
		return err
	}
	log := zerolog.New(cmd.ErrOrStderr()).Level(s.logLevel).With().Timestamp().Logger()
	if err := serve(cmd.Context(), s, log); err != nil {
		return &runError{"serve", err}
	}
	return nil
}

// serve runs the stand-in for the platform until ctx ends.
func serve(ctx context.Context, s settings, log zerolog.Logger) error {
	p := standin.New(standin.Config{
		Cell: s.cell, Seed: s.seed, TimeScale: s.timeScale, Log: log, Invariants: invariant.New(invariant.Config{Log: log}),
	})
	for _, e := range s.entries {
		p.AddEntry(e.id, e.place, e.peerAddr)
	}
	runners, err := standin.StartRunners(p, s.runnerHost, s.runnerPort, s.requestDuration)
	if err != nil {
		return err
	}
	defer runners.Close()
	apiListener, err := net.Listen("tcp", s.listenAddr.String())
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", s.adminAddr.String())
	if err != nil {
		return errors.Join(err, apiListener.Close())
	}
	log.Info().Str("cell", s.cell.Name).Stringer("listen", apiListener.Addr()).Stringer("admin", adminListener.Addr()).
		Int("workers", s.cell.Workers).Int("runners", len(runners.All())).Msg("platformd: serving")
	err = serveAll(ctx, log, []endpoint{{apiListener, standin.NewHandler(p)}, {adminListener, standin.NewAdminHandler(p, runners)}})
	stats := p.Stats()
	log.Info().Int64("commits", stats.Commits).Int64("reads", stats.Reads).Int64("starts", stats.Starts).
		Int64("overlaps", stats.Overlaps).Int64("capacity_refusals", stats.CapacityRefusals).Msg("platformd: stopped")
	return err
}

// endpoint is an HTTP handler and its listener.
type endpoint struct {
	listener net.Listener
	handler  http.Handler
}

// serveAll serves the endpoints until ctx ends or one of them fails.
func serveAll(ctx context.Context, log zerolog.Logger, endpoints []endpoint) error {
	// Cancelling callsCtx ends the calls to which a stalled store never replies.
	callsCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	group := pool.New().WithContext(ctx).WithCancelOnError().WithFirstError()
	for _, e := range endpoints {
		server := &http.Server{
			Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			BaseContext: func(net.Listener) context.Context { return callsCtx },
		}
		group.Go(func(context.Context) error {
			if err := server.Serve(e.listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		group.Go(func(ctx context.Context) error {
			<-ctx.Done()
			log.Info().Stringer("listen", e.listener.Addr()).Msg("platformd: stopping")
			cancelCalls()
			shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
			defer cancel()
			return server.Shutdown(shutdownCtx)
		})
	}
	return group.Wait()
}
