package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// demoOptions are the flags of the demo command.
type demoOptions struct {
	examples string
	daemons  int
	requests int
	logs     bool
	timeout  time.Duration
}

func newDemoCmd() *cobra.Command {
	var o demoOptions
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the sample cells in this process and check the result",
		Long: `Demo starts, for each of the two sample cells, a stand-in for the platform
with its workers and runners and several daemons, all in this process and on
loopback. It applies the cell's release note, runs the jobs that the note
declares and jobs handed in under keys, sends requests to the cell's service,
and prints waiting times, packing, shares and bytes over the paid link. It
exits with 0 only if every check passes.`,
		Example: "  platformd demo\n  platformd demo --daemons 7 --logs 2>demo.log",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return runDemoCmd(cmd, &o) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.examples, "examples", "examples", "folder of the cells' release notes")
	flags.IntVar(&o.daemons, "daemons", 6, "daemons per cell, from 1 to 20")
	flags.IntVar(&o.requests, "requests", 300, "requests to the service of each cell, from 10 to 100000")
	flags.BoolVar(&o.logs, "logs", false, "write the daemons' logs to standard error")
	flags.DurationVar(&o.timeout, "timeout", 2*time.Minute, "longest time for one cell")
	return cmd
}

func runDemoCmd(cmd *cobra.Command, o *demoOptions) error {
	if o.daemons < 1 || o.daemons > 20 {
		return fmt.Errorf("--daemons is %d; allowed: 1 to 20", o.daemons)
	}
	if o.requests < 10 || o.requests > 100_000 {
		return fmt.Errorf("--requests is %d; allowed: 10 to 100000", o.requests)
	}
	log := zerolog.Nop()
	if o.logs {
		log = zerolog.New(cmd.ErrOrStderr()).With().Timestamp().Logger()
	}
	failed := 0
	for _, scenario := range scenarios() {
		text, err := os.ReadFile(filepath.Join(o.examples, scenario.cell.Name+".yaml"))
		if err != nil {
			return fmt.Errorf("--examples: %w", err)
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
		report, err := runScenario(ctx, scenario, text, o, log)
		cancel()
		if err != nil {
			return &runError{"cell " + scenario.cell.Name, err}
		}
		failed += report.print(cmd.OutOrStdout())
	}
	if failed > 0 {
		return &runError{"demo", fmt.Errorf("%d checks failed", failed)}
	}
	return nil
}

// scenario is a sample cell and the work that callers hand in.
type scenario struct {
	cell  standin.Cell
	queue string
	// jobs are handed in under keys, next to those that the note declares.
	submissions []submission
	// declared names the jobs of the note, as team/id, with their number of tasks.
	declaredJobs map[string]int
	// services names the declared jobs that run on and don't finish.
	serviceJobs map[string]int
	// teams are the teams that send requests.
	requestTeams []string
}
