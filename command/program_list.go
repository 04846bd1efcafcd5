package command

import (
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
)

func newProgramListCommand(flags *operatorFlags) *cobra.Command {
	branch := ""
	command := operatorCommand[gateway.ProgramList]{
		use:       "list [--branch PATH]",
		short:     "List the programs of a branch",
		arguments: cobra.NoArgs,
		fetch: fetchPath[gateway.ProgramList](func([]string) string {
			if branch == "" {
				return "/programs"
			}
			query := url.Values{"branch": {strings.Trim(branch, "/")}}
			return "/programs?" + query.Encode()
		}),
		printText: printPrograms,
	}.command(flags)
	command.Flags().StringVar(&branch, "branch", "", "the branch; left out, the token's")
	return command
}

func printPrograms(writer io.Writer, list gateway.ProgramList) {
	printRow(writer, "ID", "BRANCH", "KEY", "STATE", "CALLS", "SPENT", "RESERVED", "BUDGET", "CREATED")
	for _, program := range list.Programs {
		printRow(writer, program.ID, program.Branch, program.Key, programState(program), program.Calls, program.SpentTokens,
			program.ReservedTokens, program.BudgetTokens, program.CreatedAt.Format(time.RFC3339))
	}
	if list.Truncated {
		printRow(writer, "There are more: name a narrower branch.")
	}
	for _, node := range list.Incomplete {
		printRow(writer, "Node "+node+" did not answer: its programs are missing here.")
	}
}

// programState returns whether a program is running, or why it ended.
func programState(program api.Program) string {
	if !program.Ended {
		return "running"
	}
	if program.EndReason == "" {
		return "ended"
	}
	return "ended: " + program.EndReason
}
