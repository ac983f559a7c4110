package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newTeamsCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "teams",
		Short:   "List the teams with their shares, usage and limits",
		Example: "  goldcrestctl teams",
		Args:    cobra.NoArgs,
		RunE:    c.runTeamsCmd,
	}
}

func (c *config) runTeamsCmd(cmd *cobra.Command, _ []string) error {
	var list api.TeamList
	if err := c.getJSON(cmd.Context(), apiPath("teams"), &list); err != nil {
		return err
	}
	t := table{header: []string{"TEAM", "SHARE", "USE", "RUNNING", "PENDING", "USED", "LIMIT"}}
	for _, team := range list.Teams {
		usage := fmt.Sprintf("%.1f%%", 100*team.DominantShare)
		t.add(team.Name, team.Share, usage, team.Running, team.Pending, formatResources(team.Used), formatResources(team.Limit))
	}
	return c.print(list, t)
}
