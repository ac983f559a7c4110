package main

import (
	"strings"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newWorkersCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "workers",
		Short:   "List the workers with their usage and state",
		Example: "  goldcrestctl workers",
		Args:    cobra.NoArgs,
		RunE:    c.runWorkersCmd,
	}
}

func (c *config) runWorkersCmd(cmd *cobra.Command, _ []string) error {
	var list api.WorkerList
	if err := c.getJSON(cmd.Context(), apiPath("workers"), &list); err != nil {
		return err
	}
	t := table{header: []string{"WORKER", "RACK", "ZONE", "OWNER", "STATE", "TASKS", "USED", "CAPACITY"}}
	for _, w := range list.Workers {
		t.add(w.ID, w.Rack, w.Zone, w.Owner, workerState(w), w.Running, formatResources(w.Used), formatResources(w.Capacity))
	}
	return c.print(list, t)
}

// workerState lists the reasons for which a worker gets no new tasks, or "ready".
func workerState(w api.WorkerStatus) string {
	var parts []string
	if !w.Reachable {
		parts = append(parts, "unreachable")
	}
	if w.Quarantined {
		parts = append(parts, "quarantined")
	}
	if w.Leaving {
		parts = append(parts, "leaving")
	}
	if len(parts) == 0 {
		return "ready"
	}
	return strings.Join(parts, ",")
}
