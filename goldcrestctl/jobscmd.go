package main

import (
	"slices"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	flagTeam  = "team"
	flagState = "state"
)

func (c *config) newJobsCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "jobs",
		Short: "List jobs",
		Example: `  goldcrestctl jobs --state pending
  goldcrestctl jobs --team archive --output json`,
		Args: cobra.NoArgs,
		RunE: c.runJobsCmd,
	}
	cmd.Flags().String(flagTeam, "", "only jobs of this team")
	cmd.Flags().String(flagState, "", "only jobs in this state")
	cmd.Flags().StringP(flagQueue, "q", "", "only jobs of this queue")
	return cmd
}

func (c *config) runJobsCmd(cmd *cobra.Command, _ []string) error {
	var list api.JobList
	if err := c.getJSON(cmd.Context(), apiPath("jobs"), &list); err != nil {
		return err
	}
	team, _ := cmd.Flags().GetString(flagTeam)
	state, _ := cmd.Flags().GetString(flagState)
	queue, _ := cmd.Flags().GetString(flagQueue)
	list.Jobs = slices.DeleteFunc(list.Jobs, func(j api.JobStatus) bool {
		return team != "" && j.Team != team || state != "" && j.State != state || queue != "" && j.Queue != queue
	})
	return c.print(list, jobTable(list.Jobs))
}
