package main

import (
	"errors"
	"strings"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newStatusCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status [--queue QUEUE JOB]",
		Short: "Show the state of the daemon, or of a job",
		Example: `  goldcrestctl status
  goldcrestctl status --queue transcription tape-17`,
		Args: cobra.MaximumNArgs(1),
		RunE: c.runStatusCmd,
	}
	cmd.Flags().StringP(flagQueue, "q", "", "name of the job's queue")
	return cmd
}

func (c *config) runStatusCmd(cmd *cobra.Command, args []string) error {
	queue, _ := cmd.Flags().GetString(flagQueue)
	if (queue != "") != (len(args) == 1) {
		return errors.New("to show a job, give both --queue and the name of the job")
	}
	if queue != "" {
		var job api.JobStatus
		if err := c.getJSON(cmd.Context(), apiPath("queues", queue, "jobs", args[0]), &job); err != nil {
			return err
		}
		return c.printJob(job)
	}
	var s api.Status
	if err := c.getJSON(cmd.Context(), apiPath("status"), &s); err != nil {
		return err
	}
	t := table{header: []string{"FIELD", "VALUE"}}
	t.add("daemon", s.Daemon)
	t.add("place", s.Region+"/"+s.Zone)
	t.add("ready", s.Ready)
	t.add("draining", s.Draining)
	t.add("configuration", s.ConfigVersion)
	t.add("configuration fresh", s.ConfigFresh)
	t.add("store visible", s.StoreVisible)
	t.add("members", strings.Join(s.Members, ", "))
	t.add("racks", strings.Join(s.Racks, ", "))
	t.add("tasks running", s.Running)
	t.add("tasks pending", s.Pending)
	t.add("invariant violations", s.Violations)
	return c.print(s, t)
}
