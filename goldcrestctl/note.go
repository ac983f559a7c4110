package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// maxNoteSize limits the size of a release note.
const maxNoteSize = 1 << 20

// readFile reads a file, or the standard input for "-". Empty files and files
// larger than limit are errors.
func (c *config) readFile(name string, limit int64) ([]byte, error) {
	in := c.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%s is larger than %d bytes", name, limit)
	}
	if len(data) == 0 {
		return nil, errors.New(name + " is empty")
	}
	return data, nil
}

// noteRequest returns a POST request with the release note in a file.
func (c *config) noteRequest(file string, segments ...string) (request, error) {
	text, err := c.readFile(file, maxNoteSize)
	if err != nil {
		return request{}, err
	}
	header := http.Header{}
	header.Set("Content-Type", api.ContentTypeNote)
	header.Set(api.HeaderNoteFile, filepath.Base(file))
	return request{method: http.MethodPost, path: apiPath(segments...), header: header, body: text}, nil
}

// planNote calls the check or the plan action for a note and prints the changes.
func (c *config) planNote(cmd *cobra.Command, file, action string) error {
	req, err := c.noteRequest(file, "notes", action)
	if err != nil {
		return err
	}
	var plan api.Plan
	if err := c.callJSON(cmd.Context(), req, &plan); err != nil {
		return err
	}
	return c.printPlan(plan)
}
