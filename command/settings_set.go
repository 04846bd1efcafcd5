package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/operator"
)

// verdictAttempts is the number of times a change is sent until its verdict
// arrives. Repeating it is safe: a change with a known id is not applied again.
const verdictAttempts = 4

// setFlags are the flags of `birchwood settings set`.
type setFlags struct {
	unset        []string
	remove       bool
	file         string
	baseRevision uint64
	id           string
	actor        string
	yes          bool
	dryRun       bool
}

func newSettingsSetCommand(flags *operatorFlags) *cobra.Command {
	set := &setFlags{}
	command := &cobra.Command{
		Use:   "set PATH NAME=VALUE... | set --file FILE",
		Short: "Change settings: shows the effect first and the verdict after",
		Long: "Changes the settings of a branch. Shows what the change would do to each branch, asks,\n" +
			"sends it, and prints the verdict that every node reaches. A list's values are separated by\n" +
			"commas; NAME= is the empty list. --file reads a whole change, in JSON, with several edits.\n" +
			"Exits with 1 when the change is wrong or lost to another one.",
		Example: "  birchwood settings set koudeketting/triage zones=isando priority=8\n" +
			"  birchwood settings set qasr --unset models --yes",
		RunE: func(command *cobra.Command, arguments []string) error {
			client, err := flags.newClient(command)
			if err != nil {
				return err
			}
			return runSet(command, client, set, arguments)
		},
	}
	local := command.Flags()
	local.StringSliceVar(&set.unset, "unset", nil, "names that become inherited again")
	local.BoolVar(&set.remove, "remove", false, "remove the branch and everything below it")
	local.StringVar(&set.file, "file", "", "read the change from this file")
	local.Uint64Var(&set.baseRevision, "based", 0, "the revision that the change was made on; left out, the present one")
	local.StringVar(&set.id, "id", "", "the change's id, to send the same change again")
	local.StringVar(&set.actor, "actor", os.Getenv("USER"), "your name, for the history")
	local.BoolVar(&set.yes, "yes", false, "send without asking")
	local.BoolVar(&set.dryRun, "dry-run", false, "show the effect alone")
	return command
}

// setResult is the JSON output of `birchwood settings set`.
type setResult struct {
	Change  contract.Change   `json:"change"`
	Preview operator.Preview  `json:"preview"`
	Verdict *contract.Verdict `json:"verdict,omitempty"`
}

// runSet shows the effect of the change, asks for confirmation, sends the
// change and prints the verdict.
func runSet(command *cobra.Command, client *operatorClient, flags *setFlags, arguments []string) error {
	ctx := command.Context()
	change, err := flags.change(ctx, client, arguments)
	if err != nil {
		return err
	}
	result := setResult{Change: change}
	if err := client.post(ctx, "/settings/preview", change, &result.Preview); err != nil {
		return err
	}
	if client.output == outputText {
		printPreview(client.writer, result.Preview)
	}
	if flags.dryRun || len(result.Preview.Findings) > 0 {
		return reportResult(client, result)
	}
	if !flags.yes && !confirmSend(command) {
		return &ExitError{Code: ExitFailure, Cause: errors.New("not sent")}
	}
	verdict, err := sendChange(ctx, client, change)
	if err != nil {
		return err
	}
	result.Verdict = &verdict
	return reportResult(client, result)
}

// change builds the change from the arguments, or reads it from the file.
func (f *setFlags) change(ctx context.Context, client *operatorClient, arguments []string) (contract.Change, error) {
	var change contract.Change
	if f.file != "" {
		content, err := os.ReadFile(f.file)
		if err != nil {
			return change, usageError("%v", err)
		}
		if findings := api.Decode(content, &change); len(findings) > 0 {
			return change, usageError("%s: %v", f.file, findings.Error())
		}
	} else {
		edit, err := f.edit(arguments)
		if err != nil {
			return change, err
		}
		change.Edits = []contract.Edit{edit}
	}
	if f.id != "" {
		change.ID = f.id
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if f.baseRevision > 0 {
		change.Based = contract.Revision(f.baseRevision)
	}
	change.Actor = f.actor
	change.At = time.Now().UTC()
	if change.Based > 0 {
		return change, nil
	}
	var current operator.Settings
	err := client.get(ctx, "/settings", &current)
	change.Based = current.Revision
	return change, err
}

// edit parses the arguments PATH NAME=VALUE...
func (f *setFlags) edit(arguments []string) (contract.Edit, error) {
	if len(arguments) == 0 {
		return contract.Edit{}, usageError("no branch: give a PATH, / for the root")
	}
	edit := contract.Edit{Path: contract.Path(strings.Trim(arguments[0], "/")), Unset: f.unset, Remove: f.remove}
	values := make(map[string]json.RawMessage)
	for _, argument := range arguments[1:] {
		name, text, found := strings.Cut(argument, "=")
		if !found {
			return edit, usageError("%q: want NAME=VALUE", argument)
		}
		value, err := encodeValue(name, text)
		if err != nil {
			return edit, usageError("%s: %v", name, err)
		}
		values[name] = value
	}
	encoded, err := json.Marshal(values)
	if err != nil {
		return edit, usageError("%v", err)
	}
	if err := json.Unmarshal(encoded, &edit.Values); err != nil {
		return edit, usageError("%v", err)
	}
	return edit, nil
}

// encodeValue returns the first JSON form of the text that the setting accepts: as
// it is (a number), as a list, or as a string (such as a duration).
func encodeValue(name, text string) (json.RawMessage, error) {
	parts := []string{}
	if text != "" {
		parts = strings.Split(text, ",")
	}
	list, err := json.Marshal(parts)
	if err != nil {
		return nil, err
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return nil, err
	}
	for _, candidate := range []json.RawMessage{json.RawMessage(text), list, quoted} {
		if !json.Valid(candidate) {
			continue
		}
		var values contract.Values
		encoded, marshalErr := json.Marshal(map[string]json.RawMessage{name: candidate})
		if marshalErr != nil {
			continue
		}
		if err = json.Unmarshal(encoded, &values); err == nil {
			return candidate, nil
		}
	}
	return nil, err
}

// printPreview writes the effect of the change on each branch, or the findings
// against it.
func printPreview(writer io.Writer, preview operator.Preview) {
	for _, finding := range preview.Findings {
		printRow(writer, "wrong: "+finding.Place+": "+finding.Message)
	}
	if len(preview.Findings) > 0 {
		return
	}
	printRow(writer, fmt.Sprintf("The change, on revision %d, affects %d branches.", preview.Revision, preview.Total))
	for _, effect := range preview.Effects {
		state := ""
		if effect.Created {
			state = " (new)"
		}
		if effect.Removed {
			state = " (removed)"
		}
		printRow(writer, effect.Path.String()+state)
		for _, difference := range effect.Differences {
			printRow(writer, fmt.Sprintf("  %s: %s -> %s", difference.Name, orDash(string(difference.Before)), orDash(string(difference.After))))
		}
	}
}

// confirmSend asks the user for confirmation.
func confirmSend(command *cobra.Command) bool {
	_, _ = fmt.Fprint(command.ErrOrStderr(), "Send this change? [y/N] ")
	answer, _ := bufio.NewReader(command.InOrStdin()).ReadString('\n')
	answer = strings.ToLower(strings.TrimSpace(answer))
	return answer == "y" || answer == "yes"
}

// sendChange sends the change until its verdict is known, at most
// verdictAttempts times.
func sendChange(ctx context.Context, client *operatorClient, change contract.Change) (contract.Verdict, error) {
	var verdict contract.Verdict
	var err error
	for range verdictAttempts {
		err = client.post(ctx, "/settings", change, &verdict)
		var status *httpclient.StatusError
		if errors.As(err, &status) && json.Unmarshal([]byte(status.Body), &verdict) == nil && verdict.ID != "" {
			return verdict, nil
		}
		refusal, refused := refusalOf(err)
		if err == nil || refused && refusal.Ran != api.RanOutcomeUnknown || ctx.Err() != nil {
			return verdict, err
		}
	}
	return verdict, fmt.Errorf("the verdict is not known; send the same change again with --id %s --based %d: %w", change.ID, change.Based, err)
}

// reportResult prints the result and returns an error if the change was not or
// would not be accepted.
func reportResult(client *operatorClient, result setResult) error {
	if client.output == outputJSON {
		if err := client.print(result, nil); err != nil {
			return err
		}
	}
	switch {
	case len(result.Preview.Findings) > 0:
		return &ExitError{Code: ExitFailure, Cause: errors.New("change not sent: it would be refused")}
	case result.Verdict == nil:
		return nil
	case !result.Verdict.Accepted:
		return &ExitError{Code: ExitFailure, Cause: errors.New(verdictText(*result.Verdict))}
	case client.output == outputText:
		printRow(client.writer, verdictText(*result.Verdict))
	}
	return nil
}

// verdictText describes a verdict, with the findings if it is a refusal.
func verdictText(verdict contract.Verdict) string {
	if verdict.Accepted {
		return fmt.Sprintf("Accepted as revision %d.", verdict.Revision)
	}
	text := fmt.Sprintf("change %s was refused", verdict.ID)
	if verdict.Winner != "" {
		text += "; it lost to change " + verdict.Winner
	}
	for _, finding := range verdict.Findings {
		text += fmt.Sprintf("\n  %s: %s", finding.Place, finding.Message)
	}
	return text
}
