package main

import (
	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newExplainCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "explain --queue QUEUE JOB",
		Short:   "Show why the tasks of a job are waiting",
		Example: "  goldcrestctl explain --queue transcription tape-17",
		Args:    cobra.ExactArgs(1),
		RunE:    c.runExplainCmd,
	}
	addQueueFlag(cmd)
	return cmd
}

func (c *config) runExplainCmd(cmd *cobra.Command, args []string) error {
	queue, _ := cmd.Flags().GetString(flagQueue)
	var explanation api.Explanation
	if err := c.getJSON(cmd.Context(), apiPath("queues", queue, "jobs", args[0], "explain"), &explanation); err != nil {
		return err
	}
	t := table{header: []string{"TASKS", "RACK", "REASON"}}
	for _, r := range explanation.Reasons {
		t.add(r.Tasks, r.Rack, r.Reason)
	}
	if len(explanation.Reasons) == 0 {
		t.add(formatTasks(explanation.Job.Tasks), "", explanation.Job.Reason)
	}
	return c.print(explanation, t)
}
