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
	seedFlag    = "seed"
	seedsFlag   = "seeds"
	lengthFlag  = "length"
	daemonsFlag = "daemons"
	runnersFlag = "runners"
	logsFlag    = "logs"
	shardFlag   = "shard-workers"
)

func newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run daemons as processes under random faults and check what clients and runners see",
		Long: `Soak builds goldcrestd and runs it as separate processes beside a stand-in for
the users' platform. It delays, resets and cuts their connections, pauses, kills
and restarts them, and lets the store and the runners misbehave. A seed repeats
the schedule of a run. The logs of a run with a violation are kept.`,
		Example:      "  go run ./soak --seeds 50\n  go run ./soak --seed 7",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         runRootCmd,
	}
	cmd.Flags().Uint64(seedFlag, 0, "first seed; 0 draws one")
	cmd.Flags().Int(seedsFlag, 1, "number of runs, with consecutive seeds")
	cmd.Flags().Duration(lengthFlag, 15*time.Second, "time in which faults and jobs come")
	cmd.Flags().Int(daemonsFlag, 4, "number of daemons")
	cmd.Flags().Int(runnersFlag, 8, "number of runners")
	cmd.Flags().Int(shardFlag, 0, "most runners of a shard; 0 takes one shard for even seeds and three for odd ones")
	cmd.Flags().String(logsFlag, filepath.Join(os.TempDir(), "goldcrest-soak"), "folder for settings and logs")
	return cmd
}

func runRootCmd(cmd *cobra.Command, _ []string) error {
	flags := cmd.Flags()
	cfg := config{out: cmd.OutOrStdout()}
	var errs [7]error
	var seeds int
	cfg.seed, errs[0] = flags.GetUint64(seedFlag)
	seeds, errs[1] = flags.GetInt(seedsFlag)
	cfg.length, errs[2] = flags.GetDuration(lengthFlag)
	cfg.daemons, errs[3] = flags.GetInt(daemonsFlag)
	cfg.runners, errs[4] = flags.GetInt(runnersFlag)
	cfg.dir, errs[5] = flags.GetString(logsFlag)
	cfg.shardWorkers, errs[6] = flags.GetInt(shardFlag)
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	if seeds < 1 || cfg.daemons < 1 || cfg.runners < 1 || cfg.length <= 0 {
		return fmt.Errorf("--%s, --%s, --%s and --%s must be positive", seedsFlag, daemonsFlag, runnersFlag, lengthFlag)
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

func runSeeds(cmd *cobra.Command, cfg config, seeds int) error {
	var failed error
	for range seeds {
		_, _ = fmt.Fprintf(cfg.out, "seed %d\n", cfg.seed)
		if err := soak(cmd.Context(), cfg); err != nil {
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

// buildDaemon builds the program that the runs use.
func buildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "goldcrestd")
	build := exec.Command("go", "build", "-o", binary, "github.com/goldcrestshift/goldcrestshift/goldcrestd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build goldcrestd: %w", err)
	}
	return binary, nil
}
