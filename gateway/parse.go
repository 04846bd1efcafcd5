package gateway

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
)

// Limits of GET /v1/programs/{id}/history.
const (
	defaultHistoryLimit = 100
	maximumHistoryLimit = 200
)

// keyPrefix marks a path segment that identifies a call by its key.
const keyPrefix = "key:"

// parser reads one route's input into the exchange. It adds everything that is
// wrong with the input to the findings; it returns other errors.
type parser func(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error

// parseCreate reads POST /v1/programs.
func (g *Gateway) parseCreate(_ *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	var create api.CreateProgram
	*findings = append(*findings, api.Decode(request.body, &create)...)
	if len(*findings) == 0 {
		create.Validate(findings)
	}
	if len(*findings) > 0 {
		return nil
	}
	unknown := api.Refuse(api.CodeUnknownBranch, "no branch %q on the caller's branch", create.Branch).WithLocation("$.branch")
	if !contract.Path(create.Branch).Within(request.scope) {
		return unknown
	}
	program, refusal := g.service.ProgramID(contract.Path(create.Branch), create.Key)
	if refusal != nil && refusal.Code == api.CodeUnknownBranch {
		return unknown
	}
	request.request.Operation = control.OperationCreate
	request.request.Program = program
	request.request.Create = &create
	return refusal
}

// parseAgent reads POST /v1/programs/{id}/agents.
func (g *Gateway) parseAgent(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	var create api.CreateProgram
	*findings = append(*findings, api.Decode(request.body, &create)...)
	if len(*findings) == 0 {
		create.ValidateAgent(findings)
	}
	parent := pathProgram(ctx, findings)
	if len(*findings) > 0 {
		return nil
	}
	if create.Branch != "" && !contract.Path(create.Branch).Within(request.scope) {
		return api.Refuse(api.CodeUnknownBranch, "no branch %q on the caller's branch", create.Branch).WithLocation("$.branch")
	}
	program, err := partition.NewChildID(parent, create.Key)
	if err != nil {
		return api.Refuse(api.CodeNotFound, "%v", err).WithLocation("$.id")
	}
	request.request.Operation = control.OperationCreate
	request.request.Parent = parent
	request.request.Program = program
	request.request.Create = &create
	return nil
}

// parseSubmit reads POST /v1/programs/{id}/calls.
func (g *Gateway) parseSubmit(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	var submit api.SubmitCall
	*findings = append(*findings, api.Decode(request.body, &submit)...)
	if len(*findings) == 0 {
		submit.Validate(findings)
	}
	request.request.Operation = control.OperationSubmit
	request.request.Program = pathProgram(ctx, findings)
	request.request.Wait = queryBool(ctx, "wait", true, findings)
	request.request.Submit = &submit
	request.stream = submit.Stream
	if request.stream {
		request.position = lastEvent(ctx, findings)
	}
	return nil
}

// parseCall reads GET /v1/programs/{id}/calls/{call}.
func (g *Gateway) parseCall(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	request.request.Operation = control.OperationCall
	request.request.Program = pathProgram(ctx, findings)
	request.request.Wait = queryBool(ctx, "wait", false, findings)
	request.request.Sequence, request.request.Key = pathCall(ctx, findings)
	return nil
}

// parseStream reads GET /v1/programs/{id}/calls/{call}/stream.
func (g *Gateway) parseStream(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	_ = g.parseCall(ctx, request, findings)
	request.stream = true
	request.position = lastEvent(ctx, findings)
	if request.position == (position{}) {
		request.position = position{
			attempt: int(queryNumber(ctx, "attempt", 0, findings)),
			offset:  int(queryNumber(ctx, "offset", 0, findings)),
		}
	}
	return nil
}

// parseCancel reads POST /v1/programs/{id}/calls/{call}/cancel.
func (g *Gateway) parseCancel(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	_ = g.parseCall(ctx, request, findings)
	request.request.Operation = control.OperationCancel
	request.request.Wait = false
	return nil
}

// endProgram is the optional body of POST /v1/programs/{id}/end.
type endProgram struct {
	Reason string `json:"reason"`
}

// parseEnd reads POST /v1/programs/{id}/end.
func (g *Gateway) parseEnd(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	end := endProgram{Reason: "ended by the caller"}
	if len(request.body) > 0 {
		*findings = append(*findings, api.Decode(request.body, &end)...)
	}
	if len(end.Reason) > api.MaximumNameLength {
		findings.Add("$.reason", "longer than %d bytes", api.MaximumNameLength)
	}
	request.request.Operation = control.OperationEnd
	request.request.Program = pathProgram(ctx, findings)
	request.request.Reason = end.Reason
	return nil
}

// parseDescribe reads GET /v1/programs/{id}.
func (g *Gateway) parseDescribe(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	request.request.Operation = control.OperationDescribe
	request.request.Program = pathProgram(ctx, findings)
	return nil
}

// parseTrace reads GET /v1/programs/{id}/trace.
func (g *Gateway) parseTrace(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	request.request.Operation = control.OperationTrace
	request.request.Program = pathProgram(ctx, findings)
	return nil
}

// parseHistory reads GET /v1/programs/{id}/history.
func (g *Gateway) parseHistory(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	request.request.Operation = control.OperationHistory
	request.request.Program = pathProgram(ctx, findings)
	request.request.Sequence = max(1, queryNumber(ctx, "from", 1, findings))
	limit := queryNumber(ctx, "limit", defaultHistoryLimit, findings)
	if limit < 1 || limit > maximumHistoryLimit {
		findings.Add("query limit", "want 1 to %d", maximumHistoryLimit)
	}
	request.request.Limit = int(limit)
	return nil
}

// parseList reads GET /v1/programs.
func (g *Gateway) parseList(_ *fasthttp.RequestCtx, request *exchange, _ *api.Findings) *api.Error {
	request.request.Operation = control.OperationList
	request.request.Limit = maximumPrograms + 1 // One more than fits shows that the list is truncated.
	return nil
}

// parseWhy reads GET /v1/refusals/{id}.
func (g *Gateway) parseWhy(ctx *fasthttp.RequestCtx, request *exchange, findings *api.Findings) *api.Error {
	text, _ := ctx.UserValue("id").(string)
	api.CheckKey(text, "path id", findings)
	request.request.Operation = operationWhy
	request.request.Key = strings.Clone(text)
	return nil
}

// pathProgram reads the {id} of the path: the name of the branch's group, the
// index of the partition, and 16 hexadecimal digits, joined by dots.
func pathProgram(ctx *fasthttp.RequestCtx, findings *api.Findings) api.ProgramID {
	text, _ := ctx.UserValue("id").(string)
	parts := strings.Split(text, ".")
	valid := len(parts) == 3 && parts[0] != "" && len(parts[2]) == 16
	if valid {
		_, errIndex := strconv.ParseUint(parts[1], 10, 31)
		_, errDigits := strconv.ParseUint(parts[2], 16, 64)
		valid = errIndex == nil && errDigits == nil
	}
	if !valid || len(text) > 4*api.MaximumNameLength {
		findings.Add("path id", "not a program id")
		return ""
	}
	return api.ProgramID(strings.Clone(text))
}

// pathCall reads the {call} of the path: a sequence number, or "key:" and a key.
func pathCall(ctx *fasthttp.RequestCtx, findings *api.Findings) (sequence uint64, key string) {
	text, _ := ctx.UserValue("call").(string)
	if key, found := strings.CutPrefix(text, keyPrefix); found {
		api.CheckKey(key, "path call", findings)
		return 0, strings.Clone(key)
	}
	sequence, err := strconv.ParseUint(text, 10, 63)
	if err != nil || sequence == 0 {
		findings.Add("path call", "want a sequence from 1, or %q and the call's key", keyPrefix)
	}
	return sequence, ""
}

// queryBool reads an optional boolean query parameter, whose default is absent.
func queryBool(ctx *fasthttp.RequestCtx, name string, absent bool, findings *api.Findings) bool {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return absent
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		findings.Add("query "+name, "want true or false")
	}
	return value
}

// queryNumber reads an optional query parameter that is an integer from 0, whose
// default is absent.
func queryNumber(ctx *fasthttp.RequestCtx, name string, absent uint64, findings *api.Findings) uint64 {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return absent
	}
	value, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		findings.Add("query "+name, "want a whole number from 0")
	}
	return value
}

// lastEvent reads the header that clients of server-sent events send when they
// reconnect: the ID of the last event that they received, "attempt:offset".
func lastEvent(ctx *fasthttp.RequestCtx, findings *api.Findings) position {
	text := string(ctx.Request.Header.Peek("Last-Event-ID"))
	if text == "" {
		return position{}
	}
	at, valid := parsePosition(text)
	if !valid {
		findings.Add("header Last-Event-ID", "want an event's id, attempt:offset")
	}
	return at
}

// parsePosition parses an event ID, and reports whether it is valid.
func parsePosition(text string) (position, bool) {
	attemptText, offsetText, found := strings.Cut(text, ":")
	attempt, errAttempt := strconv.ParseUint(attemptText, 10, 31)
	offset, errOffset := strconv.ParseUint(offsetText, 10, 31)
	valid := found && errAttempt == nil && errOffset == nil
	return position{attempt: int(attempt), offset: int(offset)}, valid
}
