package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// Exit codes.
const (
	exitOK = 0
	// exitRefused means that the daemon returned an error response.
	exitRefused = 1
	exitUsage   = 2
	// exitNoResponse means that no daemon gave a usable response.
	exitNoResponse = 3
)

// config holds the settings and the standard streams that all commands share.
type config struct {
	settings settings
	stdin    io.Reader
	stdout   io.Writer
	stderr   io.Writer
}

// execute runs the command with the given arguments and returns the exit code.
func execute(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &config{stdin: stdin, stdout: stdout, stderr: stderr}
	cmd := c.newRootCmd()
	cmd.SetArgs(args)
	cmd.SetIn(stdin)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	return c.reportError(cmd.ExecuteContext(ctx))
}

// reportError prints an error and returns the exit code for it.
func (c *config) reportError(err error) int {
	var problem *api.Problem
	var callErr *callError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &problem):
		c.printProblem(problem)
		return exitRefused
	case errors.As(err, &callErr):
		fmt.Fprintln(c.stderr, "goldcrestctl: "+err.Error())
		return exitNoResponse
	}
	fmt.Fprintln(c.stderr, "goldcrestctl: "+err.Error())
	fmt.Fprintln(c.stderr, "Run goldcrestctl --help for the commands and settings.")
	return exitUsage
}

// printProblem prints an error response of a daemon, as JSON or as text.
func (c *config) printProblem(p *api.Problem) {
	if c.settings.output == outputJSON {
		// An error in writing to standard error can't be reported anywhere.
		_ = json.NewEncoder(c.stderr).Encode(p)
		return
	}
	fmt.Fprintln(c.stderr, "goldcrestctl: refused: "+p.Error())
	for _, line := range p.Errors {
		fmt.Fprintln(c.stderr, "  "+line)
	}
	switch p.Run {
	case api.RunNo:
		fmt.Fprintln(c.stderr, "Nothing was run.")
	case api.RunUnknown:
		fmt.Fprintln(c.stderr, "It is unknown whether anything was run.")
	}
}

func (c *config) newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "goldcrestctl",
		Short: "Command line of the goldcrestshift cluster scheduler",
		Long: `Apply release notes, submit and follow jobs, and inspect the cluster.

Settings are read from flags and from environment variables: --server from
GOLDCRESTCTL_SERVER, --key from GOLDCRESTCTL_KEY and so on.

Exit codes: 0 success, 1 refused by the daemon, 2 usage error, 3 no usable
response from a daemon.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			return c.settings.load(cmd)
		},
	}
	addSettingsFlags(cmd)
	cmd.AddCommand(
		c.newApplyCmd(), c.newCancelCmd(), c.newCheckCmd(), c.newExplainCmd(), c.newTraceCmd(), c.newHistoryCmd(), c.newJobsCmd(),
		c.newPlanCmd(), c.newRequestCmd(), c.newShowCmd(), c.newStatusCmd(), c.newSubmitCmd(), c.newTeamsCmd(),
		c.newVersionCmd(), c.newWorkersCmd(),
	)
	return cmd
}
