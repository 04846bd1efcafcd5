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

// The environment variables that operators' subcommands read.
const (
	operatorAddressVariable = "BIRCHWOOD_OPERATOR"
	operatorTokenVariable   = "BIRCHWOOD_OPERATOR_TOKEN"
)

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// operatorTimeout is the default time limit of one request to a node. It is
// longer than a node waits for the verdict on a change.
const operatorTimeout = 35 * time.Second

// operatorPrefix is the common prefix of the paths of the operators' API.
const operatorPrefix = "/v1/operator"

// operatorFlags are the flags that the operators' subcommands share.
type operatorFlags struct {
	address string
	token   string
	output  string
	timeout time.Duration
}

// register adds the flags to a command and its subcommands.
func (f *operatorFlags) register(command *cobra.Command) {
	set := command.PersistentFlags()
	set.StringVar(&f.address, "address", os.Getenv(operatorAddressVariable),
		"a node's operators' address, ip:port (else "+operatorAddressVariable+")")
	set.StringVar(&f.token, "token", "", "the operator's bearer token (else "+operatorTokenVariable+", which does not show in process lists)")
	set.StringVar(&f.output, "output", outputText, "text or json")
	set.DurationVar(&f.timeout, "timeout", operatorTimeout, "how long to wait for an answer")
}

// operatorClient sends requests to a node's operators' API and prints the
// answers.
type operatorClient struct {
	client *httpclient.Client
	output string
	writer io.Writer
}

// newClient validates the flags and returns a client.
func (f *operatorFlags) newClient(command *cobra.Command) (*operatorClient, error) {
	if f.output != outputText && f.output != outputJSON {
		return nil, usageError("output %q: want %s or %s", f.output, outputText, outputJSON)
	}
	if f.address == "" {
		return nil, usageError("no node address: give --address or set %s", operatorAddressVariable)
	}
	token := f.token
	if token == "" {
		token = os.Getenv(operatorTokenVariable)
	}
	if token == "" {
		return nil, usageError("no operator token: give --token or set %s", operatorTokenVariable)
	}
	client := httpclient.New(httpclient.Options{Address: f.address, Token: token, Timeout: f.timeout})
	return &operatorClient{client: client, output: f.output, writer: command.OutOrStdout()}, nil
}

// usageError returns an error with the exit code of wrong usage.
func usageError(format string, arguments ...any) error {
	return &ExitError{Code: ExitUsage, Cause: fmt.Errorf(format, arguments...)}
}

// get sends a GET request to the path and decodes the answer.
func (c *operatorClient) get(ctx context.Context, path string, answer any) error {
	return withExitCode(c.client.Do(ctx, http.MethodGet, operatorPrefix+path, nil, answer))
}

// post sends a POST request with the body to the path and decodes the answer.
func (c *operatorClient) post(ctx context.Context, path string, body, answer any) error {
	return withExitCode(c.client.Do(ctx, http.MethodPost, operatorPrefix+path, body, answer))
}

// refusalOf returns the API error from the body of an answer with an error
// status.
func refusalOf(err error) (*api.Error, bool) {
	var status *httpclient.StatusError
	if !errors.As(err, &status) {
		return nil, false
	}
	refusal := api.DecodeError([]byte(status.Body))
	return refusal, refusal != nil
}

// withExitCode wraps the error of a request with its exit code.
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

// refusedError is the error of a request that the node refused.
type refusedError struct {
	refusal *api.Error
	cause   error
}

// Error returns the refusal's code, message and outcome, and its findings, one
// a line.
func (e *refusedError) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.refusal.Code, e.refusal.Message, e.refusal.Ran)
	for _, finding := range e.refusal.Findings {
		text += fmt.Sprintf("\n  %s: %s", finding.Location, finding.Message)
	}
	return text
}

// Unwrap returns the error of the HTTP request.
func (e *refusedError) Unwrap() error { return e.cause }

// print writes the value as JSON, or calls text to write it as aligned text.
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

// printRow writes one row of a table, with tabs between the cells.
func printRow(writer io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(writer, "\t")
		}
		_, _ = fmt.Fprint(writer, cell)
	}
	_, _ = fmt.Fprintln(writer)
}
