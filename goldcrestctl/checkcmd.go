package main

import "github.com/spf13/cobra"

func (c *config) newCheckCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a release note for errors",
		Long:  "Check the syntax of a release note and the entities that it names. Nothing is changed. FILE may be - for the standard input.",
		Example: `  goldcrestctl check notes/2026-03-01-quota.yaml
  cat note.yaml | goldcrestctl check -`,
		Args: cobra.ExactArgs(1),
		RunE: c.runCheckCmd,
	}
}

func (c *config) runCheckCmd(cmd *cobra.Command, args []string) error {
	return c.planNote(cmd, args[0], "check")
}
