// Package development runs a whole system in one process: stand-ins for the
// platform and the back ends, and several real nodes that communicate with them
// and with each other over loopback. `birchwood dev` and the end-to-end tests
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

// CallerAddress returns the address of the callers' API.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// OperatorAddress returns the address of the operators' API.
func (n *Node) OperatorAddress() string { return n.operator.Addr().String() }

// Stop stops the node without interrupting requests.
func (n *Node) Stop() error {
	timings := n.File.Timings
	// DrainTimeout bounds the wait for running calls; the rest is for the
	// handover of partitions after it.
	ctx, cancel := context.WithTimeout(context.Background(), timings.DrainTimeout+2*timings.ParkTimeout)
	defer cancel()
	return n.Process.Stop(ctx)
}

// System is a running development system.
type System struct {
	Nodes    []*Node
	Standins *standin.Set
}

// LoggerFor returns the logger for the node with the given ID.
type LoggerFor func(node string) *log.Logger

// Start starts the system and returns when every node is ready. If it fails, it
// stops whatever it has started.
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

// Add starts one more node without waiting until it is ready. It opens the
// node's listeners and sets their addresses, and those of the platform, in the
// file.
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

// Stop stops the nodes one after another, each with a planned stop, and then
// the stand-ins.
func (s *System) Stop() error {
	var failures []error
	for _, started := range s.Nodes {
		failures = append(failures, started.Stop())
	}
	s.Standins.Close()
	return errors.Join(failures...)
}

// StandinConfig converts the settings file's section to the configuration of
// the stand-ins.
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

// settingsTimeout is the time limit for writing the initial settings.
const settingsTimeout = 10 * time.Second

// AppendSettings appends the initial settings to the settings stream if that is
// empty; otherwise it does nothing.
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
