package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
)

// Flags of the command.
const (
	seedFlag         = "seed"
	seedsFlag        = "seeds"
	lengthFlag       = "length"
	daemonsFlag      = "daemons"
	remainingFlag    = "remaining"
	runnersFlag      = "runners"
	linkFlag         = "link-mbps"
	logsFlag         = "logs"
	shardWorkersFlag = "shard-workers"
	runnerFaultsFlag = "runner-faults-only"
)

func newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run daemons as processes under random faults and check what clients and runners observe",
		Long: `Soak builds goldcrestd and runs it as separate processes against a fake of the
users' platform. It delays, blocks and resets their connections, pauses, kills
and restarts them, and injects faults into the store and the runners (workers).
The same seed gives the same schedule of faults and jobs. The logs of a failed
run are kept.`,
		Example:      "  go run ./soak --seeds 50\n  go run ./soak --seed 7",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         runRootCmd,
	}
	cmd.Flags().Uint64(seedFlag, 0, "first seed; 0 chooses a random one")
	cmd.Flags().Int(seedsFlag, 1, "number of runs, with consecutive seeds")
	cmd.Flags().Duration(lengthFlag, 15*time.Second, "period in which faults are injected and jobs are submitted")
	cmd.Flags().Int(daemonsFlag, 4, "number of daemons")
	cmd.Flags().Int(remainingFlag, 0, "number of daemons that are left after the others have been removed for good during the run; 0 removes none")
	cmd.Flags().Int(runnersFlag, 8, "number of runners (workers of the platform)")
	cmd.Flags().Int(shardWorkersFlag, 0, "maximum number of runners per shard; 0 means one shard for even seeds and three for odd ones")
	cmd.Flags().Bool(runnerFaultsFlag, false, "leave out the faults of single daemons, connections and the store, and most jobs that are not wide")
	cmd.Flags().Float64(linkFlag, 0, "rate in Mbit/s of the links of the daemons, which their settings contain; 0 means no limit")
	cmd.Flags().String(logsFlag, filepath.Join(os.TempDir(), "goldcrest-soak"), "directory for settings and logs")
	return cmd
}

func runRootCmd(cmd *cobra.Command, _ []string) error {
	flags := cmd.Flags()
	cfg := config{out: cmd.OutOrStdout()}
	var errs [10]error
	var seeds int
	cfg.seed, errs[0] = flags.GetUint64(seedFlag)
	seeds, errs[1] = flags.GetInt(seedsFlag)
	cfg.length, errs[2] = flags.GetDuration(lengthFlag)
	cfg.daemons, errs[3] = flags.GetInt(daemonsFlag)
	cfg.workers, errs[4] = flags.GetInt(runnersFlag)
	cfg.dir, errs[5] = flags.GetString(logsFlag)
	cfg.shardWorkers, errs[6] = flags.GetInt(shardWorkersFlag)
	cfg.workerFaultsOnly, errs[7] = flags.GetBool(runnerFaultsFlag)
	cfg.linkMbps, errs[8] = flags.GetFloat64(linkFlag)
	cfg.remaining, errs[9] = flags.GetInt(remainingFlag)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	if seeds < 1 || cfg.daemons < 1 || cfg.workers < 1 || cfg.length <= 0 {
		return fmt.Errorf("--%s, --%s, --%s and --%s must be positive", seedsFlag, daemonsFlag, runnersFlag, lengthFlag)
	}
	if cfg.remaining < 0 || cfg.remaining >= cfg.daemons && cfg.remaining > 0 {
		return fmt.Errorf("--%s must be lower than --%s and not negative", remainingFlag, daemonsFlag)
	}
	if cfg.linkMbps < 0 {
		return fmt.Errorf("--%s must not be negative", linkFlag)
	}
	if cfg.seed == 0 {
		cfg.seed = 1 + rand.Uint64N(1<<32)
	}
	var err error
	if cfg.binary, err = buildDaemon(cfg.dir); err != nil {
		return err
	}
	return runSeeds(cmd, cfg, seeds)
}

// runSeeds runs consecutive seeds, also after a failed one, until the context ends.
func runSeeds(cmd *cobra.Command, cfg config, seeds int) error {
	var failed error
	for range seeds {
		_, _ = fmt.Fprintf(cfg.out, "seed %d\n", cfg.seed)
		if err := runSeed(cmd.Context(), cfg); err != nil {
			_, _ = fmt.Fprintf(cfg.out, "FAILED: %v\n", err)
			failed = errors.Join(failed, fmt.Errorf("seed %d failed", cfg.seed))
		}
		if cmd.Context().Err() != nil {
			break
		}
		cfg.seed++
	}
	return failed
}

// buildDaemon builds goldcrestd in a directory and returns the path of the program.
func buildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "goldcrestd")
	build := exec.Command("go", "build", "-o", binary, "github.com/goldcrestshift/goldcrestshift/goldcrestd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build goldcrestd: %w", err)
	}
	return binary, nil
}
