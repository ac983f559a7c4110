package main

import (
	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newExplainCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "explain --queue QUEUE JOB",
		Short:   "Say why a job waits",
		Example: "  goldcrestctl explain --queue transcription tape-17",
		Args:    cobra.ExactArgs(1),
		RunE:    c.runExplainCmd,
	}
	addQueue(cmd)
	return cmd
}

func (c *config) runExplainCmd(cmd *cobra.Command, args []string) error {
	queue, _ := cmd.Flags().GetString(flagQueue)
	var e api.Explanation
	if err := c.get(cmd.Context(), path("queues", queue, "jobs", args[0], "explain"), &e); err != nil {
		return err
	}
	t := table{header: []string{"TASKS", "RACK", "REASON"}}
	for _, r := range e.Reasons {
		t.add(r.Tasks, r.Rack, r.Reason)
	}
	if len(e.Reasons) == 0 {
		t.add(formatTasks(e.Job.Tasks), "", e.Job.Reason)
	}
	return c.print(e, t)
}
