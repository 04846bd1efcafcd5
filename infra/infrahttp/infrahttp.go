// Package infrahttp implements the clients of the platform's log service,
// machine list and weight store over HTTP/1.1 with JSON. docs/STANDINS.md
// describes the routes. All types are safe for concurrent use.
package infrahttp

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/machine"
)

// Platform is the client of the platform's log service, machine list and weight
// store at one address.
type Platform struct {
	client *httpclient.Client
	// lastList is the last machine list received, and fullLists the number of
	// times that the platform sent the whole list.
	lastList  atomic.Pointer[machinesAnswer]
	fullLists atomic.Uint64
}

var (
	_ infra.Log         = (*Platform)(nil)
	_ infra.MachineList = (*Platform)(nil)
	_ infra.WeightStore = (*Platform)(nil)
)

// New returns a client of the platform. It does not connect yet.
func New(options httpclient.Options) *Platform {
	return &Platform{client: httpclient.New(options)}
}

// Close closes the idle connections.
func (p *Platform) Close() { p.client.Close() }

// appendRequest and the types below are the JSON bodies of the protocol. Entries
// are encoded as base64 strings.
type appendRequest struct {
	Entries [][]byte `json:"entries"`
}

type appendAnswer struct {
	FirstOffset *uint64 `json:"first_offset"`
}

type readAnswer struct {
	Entries [][]byte `json:"entries"`
	End     *uint64  `json:"end"`
}

type machinesAnswer struct {
	Machines  []machine.Machine `json:"machines"`
	Version   string            `json:"version"`
	Unchanged bool              `json:"unchanged"`
}

type reserveAnswer struct {
	WaitMilliseconds int64 `json:"wait_ms"`
}

// errIncomplete means that an answer lacks a required field. The outcome of the
// request is then unknown.
var errIncomplete = errors.New("platform: incomplete answer")

// Append implements infra.Log. The error wraps infra.ErrNotAppended if the
// request was not sent or the service refused it.
func (p *Platform) Append(ctx context.Context, stream string, entries [][]byte) (uint64, error) {
	var answer appendAnswer
	path := "/streams/" + url.PathEscape(stream)
	err := p.client.Do(ctx, fasthttp.MethodPost, path, appendRequest{Entries: entries}, &answer)
	if err != nil {
		return 0, appendError(err)
	}
	if answer.FirstOffset == nil {
		return 0, errIncomplete
	}
	return *answer.FirstOffset, nil
}

// appendError wraps the error with infra.ErrNotAppended if the request certainly
// had no effect.
func appendError(err error) error {
	var notSent *httpclient.NotSentError
	if errors.As(err, &notSent) {
		return fmt.Errorf("%w: %w", infra.ErrNotAppended, err)
	}
	var status *httpclient.StatusError
	if errors.As(err, &status) && status.WithoutEffect() {
		return fmt.Errorf("%w: %w", infra.ErrNotAppended, err)
	}
	return err
}

// Read implements infra.Log.
func (p *Platform) Read(ctx context.Context, stream string, from uint64, maximum int) ([][]byte, uint64, error) {
	var answer readAnswer
	path := fmt.Sprintf("/streams/%s?from=%d&max=%d", url.PathEscape(stream), from, maximum)
	if err := p.client.Do(ctx, fasthttp.MethodGet, path, nil, &answer); err != nil {
		return nil, 0, err
	}
	if answer.End == nil {
		return nil, 0, errIncomplete
	}
	return answer.Entries, *answer.End, nil
}

// Machines implements infra.MachineList. The request has the version of the last
// list received, so that the platform needs not send an unchanged list again.
func (p *Platform) Machines(ctx context.Context) ([]machine.Machine, error) {
	cached := p.lastList.Load()
	path := "/machines"
	if cached != nil {
		path += "?known=" + url.QueryEscape(cached.Version)
	}
	answer := &machinesAnswer{}
	if err := p.client.Do(ctx, fasthttp.MethodGet, path, nil, answer); err != nil {
		return nil, err
	}
	if answer.Unchanged && cached != nil {
		return slices.Clone(cached.Machines), nil
	}
	p.fullLists.Add(1)
	p.lastList.Store(answer)
	return slices.Clone(answer.Machines), nil
}

// FullListFetches returns the number of times that the platform sent the whole
// machine list.
func (p *Platform) FullListFetches() uint64 { return p.fullLists.Load() }

// Announce implements infra.MachineList.
func (p *Platform) Announce(ctx context.Context, self machine.Machine) error {
	path := "/machines/" + url.PathEscape(string(self.ID))
	return p.client.Do(ctx, fasthttp.MethodPut, path, self, nil)
}

// Withdraw implements infra.MachineList.
func (p *Platform) Withdraw(ctx context.Context, id machine.ID) error {
	return p.client.Do(ctx, fasthttp.MethodDelete, "/machines/"+url.PathEscape(string(id)), nil, nil)
}

// Reserve implements infra.WeightStore.
func (p *Platform) Reserve(ctx context.Context, model string) (int64, error) {
	var answer reserveAnswer
	path := "/weights/" + url.PathEscape(model) + "/reserve"
	if err := p.client.Do(ctx, fasthttp.MethodPost, path, nil, &answer); err != nil {
		return 0, err
	}
	return answer.WaitMilliseconds, nil
}
