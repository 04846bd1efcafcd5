package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/httpclient"
)

// The environment variables of the operators' verbs.
const (
	operatorAddressVariable = "BIRCHWOOD_OPERATOR"
	operatorTokenVariable   = "BIRCHWOOD_OPERATOR_TOKEN"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// operatorTimeout bounds one request to a node. It exceeds the time in which
// a node waits for the verdict on a change.
const operatorTimeout = 35 * time.Second

// operatorPrefix starts the paths of the operators' API.
const operatorPrefix = "/v1/operator"

// operatorFlags are the flags that the operators' verbs share.
type operatorFlags struct {
	address string
	token   string
	output  string
	timeout time.Duration
}

// register adds the flags to a verb and to the verbs below it.
func (f *operatorFlags) register(command *cobra.Command) {
	set := command.PersistentFlags()
	set.StringVar(&f.address, "address", os.Getenv(operatorAddressVariable),
		"a node's operators' address, ip:port (else "+operatorAddressVariable+")")
	set.StringVar(&f.token, "token", "", "the operator's bearer token (else "+operatorTokenVariable+", which does not show in process lists)")
	set.StringVar(&f.output, "output", outputText, "text or json")
	set.DurationVar(&f.timeout, "timeout", operatorTimeout, "how long to wait for an answer")
}

// operatorClient asks one node's operators' API and prints its answers.
type operatorClient struct {
	client *httpclient.Client
	output string
	writer io.Writer
}

// open checks the flags and returns a client.
func (f *operatorFlags) open(command *cobra.Command) (*operatorClient, error) {
	if f.output != outputText && f.output != outputJSON {
		return nil, usageError("output %q: want %s or %s", f.output, outputText, outputJSON)
	}
	if f.address == "" {
		return nil, usageError("which node? Give --address or set %s", operatorAddressVariable)
	}
	token := f.token
	if token == "" {
		token = os.Getenv(operatorTokenVariable)
	}
	if token == "" {
		return nil, usageError("an operator's token is needed: give --token or set %s", operatorTokenVariable)
	}
	client := httpclient.New(httpclient.Options{Address: f.address, Token: token, Timeout: f.timeout})
	return &operatorClient{client: client, output: f.output, writer: command.OutOrStdout()}, nil
}

// usageError returns the error of wrong arguments.
func usageError(format string, arguments ...any) error {
	return &ExitError{Code: ExitUsage, Cause: fmt.Errorf(format, arguments...)}
}

// get asks the path and decodes the answer.
func (c *operatorClient) get(ctx context.Context, path string, answer any) error {
	return withExitCode(c.client.Do(ctx, http.MethodGet, operatorPrefix+path, nil, answer))
}

// post sends the body to the path and decodes the answer.
func (c *operatorClient) post(ctx context.Context, path string, body, answer any) error {
	return withExitCode(c.client.Do(ctx, http.MethodPost, operatorPrefix+path, body, answer))
}

// refusalOf returns the error in an answer with an error status.
func refusalOf(err error) (*api.Error, bool) {
	var status *httpclient.StatusError
	if !errors.As(err, &status) {
		return nil, false
	}
	refusal := api.ErrorIn([]byte(status.Body))
	return refusal, refusal != nil
}

// withExitCode gives the failure of a request its exit code and words.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	var status *httpclient.StatusError
	if errors.As(err, &status) {
		if refusal, is := refusalOf(err); is {
			return &ExitError{Code: ExitFailure, Cause: &refusedError{refusal: refusal, cause: err}}
		}
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	return &ExitError{Code: ExitUnreachable, Cause: fmt.Errorf("the node did not answer: %w", err)}
}

// refusedError describes a refusal for people.
type refusedError struct {
	refusal *api.Error
	cause   error
}

// Error describes the failure.
func (e *refusedError) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.refusal.Code, e.refusal.Message, e.refusal.Ran)
	for _, finding := range e.refusal.Findings {
		text += fmt.Sprintf("\n  %s: %s", finding.Place, finding.Message)
	}
	return text
}

// Unwrap returns the answer that carried the refusal.
func (e *refusedError) Unwrap() error { return e.cause }

// print writes the value as JSON, or as the text that the function makes.
func (c *operatorClient) print(value any, text func(writer io.Writer)) error {
	if c.output == outputJSON {
		encoder := json.NewEncoder(c.writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(c.writer, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// printRow writes one line of a table.
func printRow(writer io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(writer, "\t")
		}
		_, _ = fmt.Fprint(writer, cell)
	}
	_, _ = fmt.Fprintln(writer)
}
