// Package development runs a whole system in one process: the stand-ins of
// the platform and of the back ends, and several real nodes that talk to them
// and to each other over loopback. `birchwood dev` and the end-to-end tests
// use it.
package development

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/phuslu/log"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra/infrahttp"
	"birchwood.example/birchwood/node"
)

// Node is one node of the system.
type Node struct {
	File     *config.File
	Process  *node.Process
	callers  net.Listener
	operator net.Listener
}

// Callers returns the address of the callers' API.
func (n *Node) Callers() string { return n.callers.Addr().String() }

// OperatorAddress returns the address of the operators' API.
func (n *Node) OperatorAddress() string { return n.operator.Addr().String() }

// Stop stops the node without cutting a request.
func (n *Node) Stop() error {
	timings := n.File.Timings
	// The second summand leaves room for the hand-over itself.
	ctx, cancel := context.WithTimeout(context.Background(), timings.DrainTimeout+2*timings.ParkTimeout)
	defer cancel()
	return n.Process.Stop(ctx)
}

// System is a running system.
type System struct {
	Nodes    []*Node
	Standins *standin.Set
}

// LoggerFor returns the logger of one node.
type LoggerFor func(node string) *log.Logger

// Start starts the system and returns once every node is ready. On an error
// nothing is left running.
func Start(ctx context.Context, settings *config.Development, loggers LoggerFor) (*System, error) {
	set, err := standin.Start(StandinConfig(settings.Standin.Standin))
	if err != nil {
		return nil, err
	}
	system := &System{Standins: set}
	if err := system.start(ctx, settings, loggers); err != nil {
		return nil, errors.Join(err, system.Stop())
	}
	return system, nil
}

func (s *System) start(ctx context.Context, settings *config.Development, loggers LoggerFor) error {
	if err := AppendSettings(ctx, s.Standins.Addresses().Platform, settings.Changes); err != nil {
		return err
	}
	for _, file := range settings.Nodes {
		if err := s.Add(file, loggers(string(file.Node.ID))); err != nil {
			return err
		}
	}
	for _, started := range s.Nodes {
		if err := started.Process.Node.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Add starts one more node, without waiting until it is ready. It opens the
// node's listeners, whose addresses the file then names.
func (s *System) Add(file *config.File, logger *log.Logger) error {
	callers, err := net.Listen("tcp", file.Node.Listen)
	if err != nil {
		return err
	}
	operator, err := net.Listen("tcp", file.Node.Operator)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	file.Node.Listen = callers.Addr().String()
	file.Node.Operator = operator.Addr().String()
	platform := s.Standins.Addresses().Platform
	*file.Platform = config.Platform{Log: platform, Machines: platform, Weights: platform}
	process, err := node.Wire(file, logger)
	if err != nil {
		return errors.Join(err, callers.Close(), operator.Close())
	}
	process.Start(callers, operator)
	s.Nodes = append(s.Nodes, &Node{File: file, Process: process, callers: callers, operator: operator})
	return nil
}

// Stop stops the nodes one after another, as an operator would, and then the
// stand-ins.
func (s *System) Stop() error {
	var failures []error
	for _, started := range s.Nodes {
		failures = append(failures, started.Stop())
	}
	s.Standins.Close()
	return errors.Join(failures...)
}

// StandinConfig turns the settings file's section into the stand-ins' own
// configuration.
func StandinConfig(file *config.Standin) standin.Config {
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

// AppendSettings writes the initial settings to a settings stream that is
// still empty, and leaves any other alone.
func AppendSettings(ctx context.Context, platform string, changes []contract.Change) error {
	if len(changes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	logService := infrahttp.New(httpclient.Options{Address: platform, Timeout: settingsTimeout})
	_, end, err := logService.Read(ctx, contract.StreamName, 0, 0)
	if err != nil || end > 0 {
		return err
	}
	for _, change := range changes {
		encoded, err := json.Marshal(change)
		if err != nil {
			return err
		}
		if _, err := logService.Append(ctx, contract.StreamName, [][]byte{encoded}); err != nil {
			return err
		}
	}
	return nil
}
