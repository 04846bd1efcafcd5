package command

import (
	"encoding/json"
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/development"
	"birchwood.example/birchwood/emulator/standin"
)

func newStandinCommand() *cobra.Command {
	var path, record string
	command := &cobra.Command{
		Use:   "standin --config FILE",
		Short: "Run the stand-ins of the platform and of the back ends",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runStandin(command, path, record)
		},
	}
	command.Flags().StringVar(&path, "config", "", "the stand-ins' settings file")
	command.Flags().StringVar(&record, "record", "", "write what the back ends saw to this file, for verify")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return command
}

func runStandin(command *cobra.Command, path, record string) error {
	file, findings := config.Load(path)
	if len(findings) == 0 && file.Standin == nil {
		findings = []config.Finding{{File: path, Path: "$.standin", Message: "required for standin"}}
	}
	if len(findings) > 0 {
		return reportFindings(command, findings)
	}
	changes, findings := initialSettings(path, file.Standin.Settings)
	if len(findings) > 0 {
		return reportFindings(command, findings)
	}
	settings := development.StandinConfig(file.Standin)
	recorder, closeRecord, err := openRecord(record)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	defer closeRecord()
	settings.Recorder = recorder
	set, err := standin.Start(settings)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	defer set.Close()
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := development.AppendSettings(ctx, set.Addresses().Platform, changes); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	addresses, err := json.Marshal(set.Addresses())
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	fmt.Fprintln(command.OutOrStdout(), string(addresses))
	<-ctx.Done()
	return nil
}

// initialSettings loads the file of initial settings that the stand-ins' file
// at path names. A relative name starts at that file's folder.
func initialSettings(path, settings string) ([]contract.Change, []config.Finding) {
	if settings == "" {
		return nil, nil
	}
	if !filepath.IsAbs(settings) {
		settings = filepath.Join(filepath.Dir(path), settings)
	}
	return config.LoadSettings(settings)
}
