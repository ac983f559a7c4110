package main

import (
	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newHistoryCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the accepted release notes",
		Example: "  goldcrestctl history",
		Args:    cobra.NoArgs,
		RunE:    c.runHistoryCmd,
	}
}

func (c *config) runHistoryCmd(cmd *cobra.Command, _ []string) error {
	var list api.NoteList
	if err := c.getJSON(cmd.Context(), apiPath("notes"), &list); err != nil {
		return err
	}
	return c.print(list, noteTable(list.Notes))
}

// noteTable returns the table of accepted notes.
func noteTable(notes []api.NoteStatus) table {
	t := table{header: []string{"VERSION", "AUTHOR", "TIME", "DIGEST"}}
	for _, n := range notes {
		t.add(n.Version, n.Author, formatTime(n.At), n.Digest)
	}
	return t
}
