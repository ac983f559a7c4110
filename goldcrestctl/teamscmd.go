package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newTeamsCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "teams",
		Short:   "List the teams, their shares and their use of the fleet",
		Example: "  goldcrestctl teams",
		Args:    cobra.NoArgs,
		RunE:    c.runTeamsCmd,
	}
}

func (c *config) runTeamsCmd(cmd *cobra.Command, _ []string) error {
	var list api.TeamList
	if err := c.get(cmd.Context(), path("teams"), &list); err != nil {
		return err
	}
	t := table{header: []string{"TEAM", "SHARE", "USE", "RUNNING", "PENDING", "USED", "LIMIT"}}
	for _, team := range list.Teams {
		use := fmt.Sprintf("%.1f%%", 100*team.DominantShare)
		t.add(team.Name, team.Share, use, team.Running, team.Pending, formatResources(team.Used), formatResources(team.Limit))
	}
	return c.print(list, t)
}
