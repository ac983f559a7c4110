package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/daemon"
)

func newServeCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve callers, operators and the other daemons until SIGTERM",
		Long: `Serve runs the daemon. Every entry VM runs the same program.

Each flag can also be set by an environment variable: --http-addr is
GOLDCRESTD_HTTP_ADDR. A flag takes precedence over a variable. SIGTERM and
SIGINT start a graceful shutdown: racks and slots are handed over and running
requests finish.`,
		Example: `  goldcrestd serve --http-addr 10.0.0.5:8080 --peer-addr 10.0.0.5:7070 \
    --region tt-north --zone tt-north-a --store-region tt-north \
    --platform-url http://10.0.0.2:9000`,
		Args: cobra.NoArgs,
		RunE: runServeCmd,
	}
	daemon.RegisterFlags(cmd.Flags())
	return cmd
}

func runServeCmd(cmd *cobra.Command, _ []string) error {
	settings, err := daemon.LoadSettings(cmd.Flags())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(settings.Config(cmd.ErrOrStderr()))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
