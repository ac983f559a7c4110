package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// execute runs the command with the given arguments and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	cmd := newRootCmd()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "platformd: "+err.Error())
	var failed *runError
	if errors.As(err, &failed) {
		return exitFailed
	}
	return exitUsage
}

// runError is the error of a command that failed although its arguments were valid.
type runError struct {
	op  string
	err error
}

// Error formats the operation and the cause.
func (e *runError) Error() string { return e.op + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *runError) Unwrap() error { return e.err }

func newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "platformd",
		Short:         "Stand-in for the platform, for tests and demonstrations",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newServeCmd(), newDemoCmd())
	return cmd
}
