package operator

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// Limits of the settings routes. defaultHistory and maximumHistory bound the
// changes in one answer, maximumEffects the effects in one preview, and
// maximumNameBytes the name of an actor.
const (
	defaultHistory   = 20
	maximumHistory   = 1000
	maximumEffects   = 200
	maximumNameBytes = 64
)

// Settings holds the settings of a branch: the effective values with the
// branches that they come from.
type Settings struct {
	Path     contract.Path          `json:"path"`
	Revision contract.Revision      `json:"revision"`
	Values   []contract.Explanation `json:"values"`
	Branches []contract.Path        `json:"branches"`
}

// Preview describes the effects of a change that is not applied yet.
type Preview struct {
	Effects []contract.Effect `json:"effects"`
	// Total is the number of branches that the change affects; Effects holds
	// the first maximumEffects of them.
	Total    int                `json:"total"`
	Findings []contract.Finding `json:"findings,omitempty"`
	// Revision is the settings revision that the preview is based on.
	Revision contract.Revision `json:"revision"`
}

// SettingsStatus lists the settings revision of each node.
type SettingsStatus struct {
	Freshness contract.Freshness `json:"freshness"`
	Nodes     []NodeSettings     `json:"nodes"`
}

// getSettings answers with a branch's settings.
func (s *Server) getSettings(_ context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	path, refusal := who.branch(request, "path")
	if refusal != nil {
		return nil, refusal
	}
	tree := s.service.Settings()
	values, err := tree.Explain(path)
	if err != nil {
		return nil, unknownBranch(err)
	}
	return Settings{Path: path, Revision: tree.Revision(), Values: values, Branches: tree.Branches(path)}, nil
}

// explainSettings answers with each value of a branch's settings and the branch
// that it comes from.
func (s *Server) explainSettings(_ context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	path, refusal := who.branch(request, "path")
	if refusal != nil {
		return nil, refusal
	}
	values, err := s.service.Settings().Explain(path)
	if err != nil {
		return nil, unknownBranch(err)
	}
	return values, nil
}

// settingsHistory answers with the accepted changes that concern a branch. It
// shows only edits of the operator's branch and those below it.
func (s *Server) settingsHistory(_ context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	path, refusal := who.branch(request, "path")
	if refusal != nil {
		return nil, refusal
	}
	limit, refusal := queryNumber(request, "limit", defaultHistory)
	if refusal != nil {
		return nil, refusal
	}
	entries := s.service.Settings().History(path, int(min(max(limit, 1), maximumHistory)))
	shown := make([]contract.HistoryEntry, 0, len(entries))
	for _, entry := range entries {
		entry.Edits = editsWithin(who.scope, entry.Edits)
		shown = append(shown, entry)
	}
	return shown, nil
}

// editsWithin returns the edits of the scope and the branches below it. The
// operator has no access to the tokens and limits of other branches.
func editsWithin(scope contract.Path, edits []contract.Edit) []contract.Edit {
	var within []contract.Edit
	for _, edit := range edits {
		if edit.Path.Within(scope) {
			within = append(within, edit)
		}
	}
	return within
}

// diffSettings answers with the values of a branch that differ between two
// revisions.
func (s *Server) diffSettings(_ context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	path, refusal := who.branch(request, "path")
	if refusal != nil {
		return nil, refusal
	}
	tree := s.service.Settings()
	newest := uint64(tree.Revision())
	to, refusal := queryNumber(request, "to", newest)
	if refusal != nil {
		return nil, refusal
	}
	from, refusal := queryNumber(request, "from", max(to, 1)-1)
	if refusal != nil {
		return nil, refusal
	}
	differences, err := tree.Diff(path, contract.Revision(from), contract.Revision(to))
	var unknown *contract.UnknownBranchError
	switch {
	case errors.As(err, &unknown):
		return nil, unknownBranch(err)
	case err != nil:
		return nil, api.Refuse(api.CodeBadRequest, "%v", err).WithLocation("query from, to")
	case differences == nil:
		differences = []contract.Difference{}
	}
	return differences, nil
}

// settingsStatus answers with the settings revision of each node.
func (s *Server) settingsStatus(ctx context.Context, _ *fasthttp.RequestCtx, _ actor) (any, *api.Error) {
	freshness, err := s.service.Freshness(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	nodes, err := s.service.SettingsStatus(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	return SettingsStatus{Freshness: freshness, Nodes: nodes}, nil
}

// previewSettings answers with the effects of a change, without applying it.
func (s *Server) previewSettings(_ context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	change, refusal := readChange(request, who)
	if refusal != nil {
		return nil, refusal
	}
	tree := s.service.Settings()
	effects, total, findings := tree.Preview(change, maximumEffects)
	return Preview{Effects: effects, Total: total, Findings: findings, Revision: tree.Revision()}, nil
}

// changeSettings submits a change and answers with its verdict: 200 if it was
// accepted, and 409 if it conflicts with another change or is invalid.
func (s *Server) changeSettings(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	change, refusal := readChange(request, who)
	if refusal != nil {
		return nil, refusal
	}
	verdict, err := s.service.ChangeSettings(ctx, change)
	if err != nil {
		return nil, &api.Error{
			Code:    api.CodeOutcomeUnknown,
			Message: fmt.Sprintf("the verdict on change %q is not known: send the same change with the same id again (%v)", change.ID, err),
			Ran:     api.RanOutcomeUnknown,
			Retry:   true,
		}
	}
	s.logger.Info().Str("change", change.ID).Str("actor", change.Actor).Bool("accepted", verdict.Accepted).
		Msg(logPrefix + "Settings change decided.")
	status := fasthttp.StatusOK
	if !verdict.Accepted {
		status = fasthttp.StatusConflict
	}
	return httpAnswer{status: status, value: verdict}, nil
}

// readChange reads a change and checks that it edits only the operator's branch
// and those below it. It generates an ID if the change has none; only a change
// whose ID the operator chose can be safely sent again.
func readChange(request *fasthttp.RequestCtx, who actor) (contract.Change, *api.Error) {
	var change contract.Change
	findings := api.Decode(request.PostBody(), &change)
	if len(change.Actor) > maximumNameBytes {
		findings.Add("$.actor", "longer than %d bytes", maximumNameBytes)
	}
	if refusal := findings.Error(); refusal != nil {
		return change, refusal
	}
	for i, edit := range change.Edits {
		if !edit.Path.Within(who.scope) {
			return change, who.outOfScope(edit.Path).WithLocation(fmt.Sprintf("$.edits[%d].path", i))
		}
	}
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if change.At.IsZero() {
		change.At = time.Now().UTC()
	}
	change.Actor = actorName(change.Actor, who)
	return change, nil
}

// actorName returns the actor of a change: the name that the operator gave,
// followed by the name derived from the operator's token.
func actorName(name string, who actor) string {
	if name == "" {
		return who.name
	}
	return name + " (" + who.name + ")"
}

// unknownBranch converts the settings tree's error to an answer.
func unknownBranch(err error) *api.Error {
	return api.Refuse(api.CodeUnknownBranch, "%v", err).WithLocation("query path")
}

// queryNumber reads an optional query parameter that is an integer from 0, whose
// default is absent.
func queryNumber(request *fasthttp.RequestCtx, name string, absent uint64) (uint64, *api.Error) {
	text := string(request.QueryArgs().Peek(name))
	if text == "" {
		return absent, nil
	}
	value, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, api.Refuse(api.CodeBadRequest, "want a whole number from 0").WithLocation("query " + name)
	}
	return value, nil
}
