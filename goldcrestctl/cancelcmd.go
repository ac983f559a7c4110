package main

import (
	"encoding/json"
	"net/http"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newCancelCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "cancel --queue QUEUE JOB...",
		Short: "Cancel jobs of a queue",
		Example: `  goldcrestctl cancel --queue transcription tape-17
  goldcrestctl cancel --queue transcription tape-17 tape-18 tape-19`,
		Args: cobra.MinimumNArgs(1),
		RunE: c.runCancelCmd,
	}
	addQueueFlag(cmd)
	return cmd
}

func (c *config) runCancelCmd(cmd *cobra.Command, args []string) error {
	queue, _ := cmd.Flags().GetString(flagQueue)
	if len(args) == 1 {
		var job api.JobStatus
		if err := c.callJSON(cmd.Context(), request{method: http.MethodDelete, path: apiPath("queues", queue, "jobs", args[0])}, &job); err != nil {
			return err
		}
		return c.printJob(job)
	}
	body, err := json.Marshal(api.Cancellation{IDs: args})
	if err != nil {
		return err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	var list api.JobList
	req := request{method: http.MethodPost, path: apiPath("queues", queue, "cancellations"), header: header, body: body}
	if err := c.callJSON(cmd.Context(), req, &list); err != nil {
		return err
	}
	return c.print(list, jobTable(list.Jobs))
}
