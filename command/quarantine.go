package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/quarantine"
)

// newQuarantineCommand returns the subcommands for requests under which replicas ended, at
// nodes on the users' platform.
func newQuarantineCommand() *cobra.Command {
	var peer string
	command := &cobra.Command{Use: "quarantine", Short: "See and release requests under which replicas ended, on the users' platform"}
	command.PersistentFlags().StringVar(&peer, "peer", "", "a node's address for other nodes, ip:port")
	command.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the requests under which replicas may have ended", Args: cobra.NoArgs,
			RunE: func(command *cobra.Command, _ []string) error {
				return listQuarantined(command.Context(), command.OutOrStdout(), peer)
			},
		},
		&cobra.Command{
			Use: "release FINGERPRINT", Short: "Have all nodes send a request to replicas again", Args: cobra.ExactArgs(1),
			RunE: func(command *cobra.Command, arguments []string) error {
				return releaseQuarantined(command.Context(), command.OutOrStdout(), peer, arguments[0])
			},
		},
	)
	return command
}

// askPeer sends a request to a node's address for other nodes and decodes the answer.
func askPeer(ctx context.Context, peer, method, path string, answer any) error {
	address, err := netip.ParseAddrPort(peer)
	if err != nil {
		return usageError("--peer %q: want ip:port", peer)
	}
	client := httpclient.New(httpclient.Options{Address: address.String()})
	defer client.Close()
	if err := client.Do(ctx, method, path, nil, answer); err != nil {
		return &ExitError{Code: ExitFailure, Cause: fmt.Errorf("node %s: %w", address, err)}
	}
	return nil
}

func listQuarantined(ctx context.Context, output io.Writer, peer string) error {
	var marked []quarantine.Status
	if err := askPeer(ctx, peer, fasthttp.MethodGet, edge.PathQuarantine, &marked); err != nil {
		return err
	}
	printRow(output, "FINGERPRINT", "TENANT", "ENDED", "RUNNING", "REPLICAS", "EXPIRES")
	for _, status := range marked {
		replicas := strings.Join(append(status.EndedAt, status.RunningAt...), ",")
		printRow(output, status.Fingerprint, status.Tenant, status.Ended, status.Running, replicas, status.ExpiresAt.Format(time.RFC3339))
	}
	return nil
}

func releaseQuarantined(ctx context.Context, output io.Writer, peer, text string) error {
	var fingerprint quarantine.Fingerprint
	if err := fingerprint.UnmarshalText([]byte(text)); err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	var released quarantine.Status
	if err := askPeer(ctx, peer, fasthttp.MethodDelete, edge.PathQuarantine+"/"+fingerprint.String(), &released); err != nil {
		return err
	}
	printRow(output, "released", released.Fingerprint)
	return nil
}
