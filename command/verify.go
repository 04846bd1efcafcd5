package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/history"
)

// errFindings makes verify exit with 1 after it has printed its findings.
var errFindings = errors.New("the history breaks promises")

// newVerifyCommand returns the subcommand that checks recorded histories.
func newVerifyCommand() *cobra.Command {
	output := "text"
	command := &cobra.Command{
		Use:   "verify FILE...",
		Short: "Check recorded histories against every promise",
		Long: "Reads the histories that one run recorded, one file a process, and verifies every promise.\n" +
			"Exits with 1 when a promise was broken, and with 2 when a file cannot be read.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, files []string) error {
			report, err := verifyFiles(files)
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: err}
			}
			if err := printReport(command.OutOrStdout(), report, output); err != nil {
				return err
			}
			if len(report.Findings) > 0 {
				return &ExitError{Code: ExitFailure, Cause: errFindings}
			}
			return nil
		},
	}
	command.Flags().StringVar(&output, "output", output, "text or json")
	return command
}

// verifyFiles checks the files as one history.
func verifyFiles(files []string) (history.Report, error) {
	readers := make([]io.Reader, len(files))
	for i, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return history.Report{}, err
		}
		defer func() { _ = file.Close() }()
		readers[i] = file
	}
	return history.Check(readers...)
}

// printReport writes a report as text or JSON.
func printReport(writer io.Writer, report history.Report, output string) error {
	switch output {
	case "json":
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	case "text":
		_, err := fmt.Fprint(writer, report)
		return err
	}
	return fmt.Errorf("output %q: want text or json", output)
}
