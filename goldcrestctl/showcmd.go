package main

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

func (c *config) newShowCmd() *cobra.Command {
	return &cobra.Command{
		Use:     "show VERSION",
		Short:   "Show the text of an accepted release note",
		Example: "  goldcrestctl show 42 > note.yaml",
		Args:    cobra.ExactArgs(1),
		RunE:    c.runShowCmd,
	}
}

func (c *config) runShowCmd(cmd *cobra.Command, args []string) error {
	if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
		return fmt.Errorf("%q is not a version; see goldcrestctl history", args[0])
	}
	var note api.NoteStatus
	if err := c.getJSON(cmd.Context(), apiPath("notes", args[0]), &note); err != nil {
		return err
	}
	if c.settings.output == outputJSON {
		return c.print(note, table{})
	}
	_, err := fmt.Fprint(c.stdout, note.Text)
	return err
}
