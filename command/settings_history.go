package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
)

func newSettingsHistoryCommand(flags *operatorFlags) *cobra.Command {
	limit := 20
	command := operatorCommand[[]contract.HistoryEntry]{
		use:       "history [PATH]",
		short:     "Show the accepted changes that concern a branch, newest first",
		arguments: cobra.MaximumNArgs(1),
		fetch: fetchPath[[]contract.HistoryEntry](func(arguments []string) string {
			query := pathQuery(arguments)
			query.Set("limit", strconv.Itoa(limit))
			return "/settings/history?" + query.Encode()
		}),
		printText: func(writer io.Writer, entries []contract.HistoryEntry) {
			printRow(writer, "REVISION", "AT", "ACTOR", "CHANGE", "EDITS")
			for _, entry := range entries {
				printRow(writer, entry.Revision, entry.At.Format(time.RFC3339), entry.Actor, entry.ChangeID, editsText(entry.Edits))
			}
		},
	}.command(flags)
	command.Flags().IntVar(&limit, "limit", limit, "how many changes to show at most")
	return command
}

// editsText describes the edits in one line.
func editsText(edits []contract.Edit) string {
	text := ""
	for _, edit := range edits {
		if text != "" {
			text += "; "
		}
		text += edit.Path.String()
		if edit.Remove {
			text += " removed"
			continue
		}
		if values, err := json.Marshal(edit.Values); err == nil && string(values) != "{}" {
			text += " set " + string(values)
		}
		if len(edit.Unset) > 0 {
			text += fmt.Sprintf(" unset %v", edit.Unset)
		}
	}
	return text
}
