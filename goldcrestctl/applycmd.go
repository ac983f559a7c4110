package main

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	flagNoteID = "note-id"
	flagAuthor = "author"
	flagBase   = "base"
)

func (c *config) newApplyCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a release note",
		Long: `Apply a release note to the cluster.

Each note has an identifier. If the response is lost, repeat the command with
the identifier from the error message; an accepted note is not applied twice.`,
		Example: `  goldcrestctl apply notes/2026-03-01-quota.yaml --author ruth
  goldcrestctl apply notes/2026-03-01-quota.yaml --note-id 4QZ7K2VXN3JYHMB5T6RDWAECUF`,
		Args: cobra.ExactArgs(1),
		RunE: c.runApplyCmd,
	}
	cmd.Flags().String(flagNoteID, "", "identifier of the note, needed to repeat an apply; random if empty")
	cmd.Flags().Uint64(flagBase, 0, "version of the configuration that the note was planned against; a change to an entity written after it is a conflict")
	cmd.Flags().String(flagAuthor, os.Getenv("USER"), "name of the author")
	return cmd
}

func (c *config) runApplyCmd(cmd *cobra.Command, args []string) error {
	req, err := c.noteRequest(args[0], "notes")
	if err != nil {
		return err
	}
	id, _ := cmd.Flags().GetString(flagNoteID)
	author, _ := cmd.Flags().GetString(flagAuthor)
	if id == "" {
		id = rand.Text()
	}
	if err := api.CheckName(id); err != nil {
		return fmt.Errorf("--%s: %w", flagNoteID, err)
	}
	if author == "" {
		return fmt.Errorf("--%s is missing", flagAuthor)
	}
	if base, _ := cmd.Flags().GetUint64(flagBase); base > 0 {
		req.path += "?base=" + strconv.FormatUint(base, 10)
	}
	req.header.Set(api.HeaderNoteID, id)
	req.header.Set(api.HeaderAuthor, author)
	var note api.NoteStatus
	if err := c.callJSON(cmd.Context(), req, &note); err != nil {
		var callErr *callError
		if errors.As(err, &callErr) && callErr.maybeSent {
			return fmt.Errorf("%w; repeat with --%s %s", err, flagNoteID, id)
		}
		return err
	}
	return c.print(note, noteTable([]api.NoteStatus{note}))
}
