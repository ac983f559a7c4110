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

// demoOptions are the values of the flags of the demo command.
type demoOptions struct {
	examplesDir string
	daemons     int
	requests    int
	writeLogs   bool
	timeout     time.Duration
}

func newDemoCmd() *cobra.Command {
	var o demoOptions
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the sample cells in this process and check the result",
		Long: `Demo starts, for each of the two sample cells, a stand-in for the platform
with its workers and runners and several daemons, all in this process and on
loopback. It applies the cell's release note, runs the jobs that the note
declares and jobs submitted with the keys of teams, sends requests to the cell's
service, and prints waiting times, peak usage, shares and bytes over the paid
link. The exit code is 0 only if every check passes.`,
		Example: "  platformd demo\n  platformd demo --daemons 7 --logs 2>demo.log",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return runDemoCmd(cmd, &o) },
	}
	flags := cmd.Flags()
	flags.StringVar(&o.examplesDir, "examples", "examples", "directory with the release notes of the cells")
	flags.IntVar(&o.daemons, "daemons", 6, "daemons per cell, from 1 to 20")
	flags.IntVar(&o.requests, "requests", 300, "requests to the service of each cell, from 10 to 100000")
	flags.BoolVar(&o.writeLogs, "logs", false, "write the logs of the daemons to standard error")
	flags.DurationVar(&o.timeout, "timeout", 2*time.Minute, "timeout of the run of one cell")
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
	if o.writeLogs {
		log = zerolog.New(cmd.ErrOrStderr()).With().Timestamp().Logger()
	}
	failed := 0
	for _, scenario := range scenarios() {
		text, err := os.ReadFile(filepath.Join(o.examplesDir, scenario.cell.Name+".yaml"))
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

// scenario is a sample cell and the jobs and requests that are sent to it.
type scenario struct {
	cell  standin.Cell
	queue string
	// submissions are the jobs that are submitted with keys, in addition to the jobs
	// that the note declares.
	submissions []submission
	// declaredJobs holds the number of tasks of the note's jobs that finish, by team/id.
	declaredJobs map[string]int
	// serviceJobs holds the number of replicas of the note's jobs that don't finish,
	// by team/id.
	serviceJobs map[string]int
	// requestTeams are the teams that send requests to the service.
	requestTeams []string
}
