package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"fireflyshift/internal/record"
	"fireflyshift/internal/settings"
	"fireflyshift/platform"
)

// Finding is one error in a checked file.
type Finding struct {
	File    string `json:"file"`
	Message string `json:"message"`
}

// Check validates files offline and returns the exit code. *.ini is checked as settings, *.toml as the platform's
// deployment file, and JSON as the platform's settings or configuration if it has that shape. Everything else is
// checked as a record or a list of records.
func (t *Tool) Check(files []string) int {
	if len(files) == 0 {
		fmt.Fprintln(t.Err, "no file given; give record files (JSON) or settings files (INI)")
		return ExitUsage
	}
	findings := []Finding{}
	for _, f := range files {
		for _, m := range checkFile(f) {
			findings = append(findings, Finding{f, m})
		}
	}
	t.printFindings(files, findings)
	if len(findings) > 0 {
		return ExitFailed
	}
	return ExitOK
}

func (t *Tool) printFindings(files []string, findings []Finding) {
	if t.JSON {
		t.writeJSON(findings)
		return
	}
	for _, f := range findings {
		fmt.Fprintf(t.Out, "%s: %s\n", f.File, f.Message)
	}
	if len(findings) == 0 {
		fmt.Fprintf(t.Out, "%d files are good\n", len(files))
	}
}

func checkFile(path string) []string {
	if filepath.Ext(path) == ".ini" {
		_, err := settings.Load(path)
		return errorMessages(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return []string{err.Error() + "; give the path of a readable file"}
	}
	if known, err := platform.CheckFile(path, data); known {
		return errorMessages(err)
	}
	raws, err := parseRecords(data)
	if err != nil {
		return []string{err.Error()}
	}
	var out []string
	for _, r := range raws {
		if r.Revision == 0 {
			r.Revision = 1 // the platform assigns the revision when the record is published
		}
		_, err := record.Convert(r)
		out = append(out, errorMessages(err)...)
	}
	return out
}

func errorMessages(err error) []string {
	if err == nil {
		return nil
	}
	var errs trace.Aggregate
	if errors.As(err, &errs) {
		var out []string
		for _, e := range errs.Errors() {
			out = append(out, trace.UserMessage(e))
		}
		return out
	}
	return []string{trace.UserMessage(err)}
}

func parseRecords(data []byte) ([]record.Raw, error) {
	trimmed := bytes.TrimSpace(data)
	var raws []record.Raw
	var err error
	if len(trimmed) > 0 && trimmed[0] == '[' {
		err = json.Unmarshal(data, &raws)
	} else {
		var one record.Raw
		err = json.Unmarshal(data, &one)
		raws = []record.Raw{one}
	}
	if err == nil {
		return raws, nil
	}
	return nil, fmt.Errorf("%s%w; give a record or a list of records: kind, name, schema, body", linePrefix(data, err), err)
}

// linePrefix returns "line N: " for the position of a JSON error, or "" if the error has no position.
func linePrefix(data []byte, err error) string {
	offset := int64(-1)
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	}
	if offset < 0 || offset > int64(len(data)) {
		return ""
	}
	return fmt.Sprintf("line %d: ", 1+strings.Count(string(data[:offset]), "\n"))
}
