package main

import "github.com/spf13/cobra"

func (c *config) newPlanCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "plan FILE",
		Short:   "Show what a release note would change",
		Long:    "Compare a release note with the current configuration and list the changes. Nothing is changed.",
		Example: "  goldcrestctl plan notes/2026-03-01-quota.yaml --output json",
		Args:    cobra.ExactArgs(1),
		RunE:    c.runPlanCmd,
	}
}

func (c *config) runPlanCmd(cmd *cobra.Command, args []string) error {
	return c.planNote(cmd, args[0], "plan")
}
