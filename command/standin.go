package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/platform/platformhttp"
)

func newStandinCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "standin --config FILE",
		Short: "Run the stand-ins of the platform and of the back ends",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runStandin(command, path)
		},
	}
	command.Flags().StringVar(&path, "config", "", "the stand-ins' settings file")
	if err := command.MarkFlagRequired("config"); err != nil {
		panic(err)
	}
	return command
}

func runStandin(command *cobra.Command, path string) error {
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
	set, err := standin.Start(standinConfig(file.Standin))
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	defer set.Close()
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := appendSettings(ctx, set.Addresses().Platform, changes); err != nil {
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

// initialSettings loads the settings file that a stand-in's file names.
func initialSettings(path, settings string) ([]contract.Change, []config.Finding) {
	if settings == "" {
		return nil, nil
	}
	if !filepath.IsAbs(settings) {
		settings = filepath.Join(filepath.Dir(path), settings)
	}
	return config.LoadSettings(settings)
}

// standinConfig turns the settings file's section into the stand-ins' own
// configuration.
func standinConfig(file *config.Standin) standin.Config {
	settings := standin.Config{
		Seed:           file.Seed,
		Platform:       file.Platform,
		Control:        file.Control,
		PlatformZone:   file.PlatformZone,
		LogDelay:       file.LogDelay,
		MachineLag:     file.MachineLag,
		MachineExpiry:  file.MachineExpiry,
		WeightTransfer: file.WeightTransfer,
	}
	for _, engine := range file.Engines {
		settings.Engines = append(settings.Engines, standin.EngineConfig(engine))
	}
	for _, tool := range file.Tools {
		settings.Tools = append(settings.Tools, standin.ToolConfig(tool))
	}
	return settings
}

// settingsTimeout bounds the writing of the initial settings.
const settingsTimeout = 10 * time.Second

// appendSettings writes the initial settings to a settings stream that is
// still empty.
func appendSettings(ctx context.Context, address string, changes []contract.Change) error {
	if len(changes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	log := platformhttp.New(platformhttp.Options{Address: address, Timeout: settingsTimeout})
	_, end, err := log.Read(ctx, contract.StreamName, 0, 0)
	if err != nil || end > 0 {
		return err
	}
	for _, change := range changes {
		encoded, err := json.Marshal(change)
		if err != nil {
			return err
		}
		if _, err := log.Append(ctx, contract.StreamName, [][]byte{encoded}); err != nil {
			return err
		}
	}
	return nil
}
