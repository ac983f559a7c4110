package main

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// versionOutput is the JSON output of the version command.
type versionOutput struct {
	Version string `json:"version"`
	Commit  string `json:"commit,omitempty"`
	Go      string `json:"go"`
}

func (c *config) newVersionCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this program",
		Example: "  goldcrestctl version --output json",
		Args:    cobra.NoArgs,
		RunE:    c.runVersionCmd,
	}
}

func (c *config) runVersionCmd(*cobra.Command, []string) error {
	v := versionOutput{Version: "(devel)", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		if info.Main.Version != "" {
			v.Version = info.Main.Version
		}
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v.Commit = s.Value
			}
		}
	}
	if c.settings.output == outputJSON {
		return c.print(v, table{})
	}
	_, err := fmt.Fprintf(c.stdout, "goldcrestctl %s %s %s\n", v.Version, v.Commit, v.Go)
	return err
}
