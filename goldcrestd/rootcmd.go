package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/daemon"
)

// Exit codes of goldcrestd.
const (
	exitOK = iota
	// exitFailed means that the daemon failed to start or to run.
	exitFailed
	// exitUsage means that a flag, an environment variable, an argument or the settings file is invalid.
	exitUsage
)

// version is the program's version; the build can set it with -ldflags -X.
var version = "devel"

// usageError marks errors that end the process with exitUsage.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// run executes the command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	cmd := newRootCmd()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintf(stderr, "goldcrestd: %v\n", err)
	var settingErr *daemon.Error
	var usageErr *usageError
	if errors.As(err, &usageErr) || (errors.As(err, &settingErr) && settingErr.Kind == daemon.KindSetting) {
		return exitUsage
	}
	return exitFailed
}

func newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "goldcrestd",
		Short:         "Run the goldcrestshift daemon of an entry VM",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	cmd.AddCommand(newServeCmd(), newNodeCmd())
	return cmd
}
