package control

import (
	"errors"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// parkedRequest is a request that waits for this node to finish taking over a
// partition.
type parkedRequest struct {
	handle  uint64
	request Request
	id      partition.ID
	until   time.Time
}

// stepRequest serves a request, parks it while this node takes over its
// partition, or refuses it.
func (c *Core) stepRequest(now time.Time, handle uint64, request Request) {
	if request.Operation == OperationList {
		c.emit(Answer{Handle: handle, Reply: c.list(request)})
		return
	}
	id, err := partition.OfProgram(request.Program)
	if err != nil {
		c.reject(handle, api.Refuse(api.CodeNotFound, "%v", err).WithLocation("$.program"))
		return
	}
	owned := c.partitions[id]
	if owned != nil && owned.serving() {
		c.serve(now, owned, handle, request)
		return
	}
	if owned != nil && owned.acquired {
		c.reject(handle, notRunNotOwner(id))
		return
	}
	if owned != nil && owned.unreadable != nil {
		c.reject(handle, api.Refuse(api.CodeStoreUnavailable, "the partition holds a record that this node cannot read"))
		return
	}
	if owner, ok := c.Owner(id); ok && owner == c.config.Self.ID && !c.stopping {
		c.parked = append(c.parked, parkedRequest{handle: handle, request: request, id: id, until: now.Add(c.config.ParkTimeout)})
		return
	}
	c.reject(handle, notRunNotOwner(id))
}

// notRunNotOwner returns the refusal of a request that was never recorded on
// this node.
func notRunNotOwner(id partition.ID) *api.Error {
	refusal := notOwner(id)
	refusal.Ran = api.RanNotRun
	return refusal
}

func (c *Core) reject(handle uint64, refusal *api.Error) {
	c.emit(Answer{Handle: handle, Reply: Reply{Error: refusal}})
}

// serveParked serves the requests that were parked for the partition.
func (c *Core) serveParked(now time.Time, id partition.ID) {
	waiting := c.parked
	c.parked = nil
	for _, request := range waiting {
		if request.id != id {
			c.parked = append(c.parked, request)
			continue
		}
		c.stepRequest(now, request.handle, request.request)
	}
}

// expireParked refuses the requests that have waited for ParkTimeout, and those
// whose partition another node should own by now.
func (c *Core) expireParked(now time.Time) {
	remaining := c.parked[:0]
	for _, request := range c.parked {
		owner, ok := c.Owner(request.id)
		if ok && owner != c.config.Self.ID || c.stopping {
			c.reject(request.handle, notRunNotOwner(request.id))
			continue
		}
		if !now.Before(request.until) {
			refusal := api.Refuse(api.CodeOwnerUnknown, "partition %s has no owner yet", request.id)
			c.reject(request.handle, refusal.WithRetryAfter(int64(time.Second/time.Millisecond)))
			continue
		}
		remaining = append(remaining, request)
	}
	c.parked = remaining
}

// abandon drops a request whose caller has disconnected. The work that it
// started continues: the caller may query it by its key.
func (c *Core) abandon(handle uint64) {
	for i, request := range c.parked {
		if request.handle == handle {
			c.parked = append(c.parked[:i], c.parked[i+1:]...)
			return
		}
	}
	for _, owned := range c.partitions {
		owned.forgetWaiter(handle)
	}
}

func (p *ownedPartition) forgetWaiter(handle uint64) {
	for call, handles := range p.waiters {
		for i, waiting := range handles {
			if waiting != handle {
				continue
			}
			handles = append(handles[:i], handles[i+1:]...)
			if len(handles) == 0 {
				delete(p.waiters, call)
			} else {
				p.waiters[call] = handles
			}
			return
		}
	}
}

// serve performs a request on a partition that this node owns.
func (c *Core) serve(now time.Time, owned *ownedPartition, handle uint64, request Request) {
	if request.Operation != OperationCreate && !c.inScope(owned, request) {
		c.confirmOwnership(now, owned, request.Program)
		refusal := api.Refuse(api.CodeNotFound, "no program %s", request.Program).WithLocation("$.program")
		c.answerDurably(now, owned, handle, Reply{Error: refusal})
		return
	}
	if request.Operation.isRead() {
		c.confirmOwnership(now, owned, request.Program)
	}
	switch request.Operation {
	case OperationCreate:
		c.create(now, owned, handle, request)
	case OperationSubmit:
		c.submit(now, owned, handle, request)
	case OperationCall:
		c.describeCall(now, owned, handle, request)
	case OperationCancel:
		c.command(now, owned, handle, program.Command{Program: request.Program, Cancel: &program.Cancel{Sequence: request.Sequence}})
	case OperationEnd:
		c.command(now, owned, handle, program.Command{Program: request.Program, End: &program.End{Reason: request.Reason}})
	case OperationDescribe:
		described, _ := owned.store.Describe(request.Program)
		c.answerDurably(now, owned, handle, Reply{Program: &described})
	case OperationHistory:
		c.history(now, owned, handle, request)
	case OperationTrace:
		traces := append([]CallTrace(nil), owned.traces[request.Program]...)
		c.emit(Answer{Handle: handle, Reply: Reply{Trace: traces}})
	default:
		c.reject(handle, api.Refuse(api.CodeBadRequest, "unknown operation %q", request.Operation))
	}
}

// confirmOwnership delays the replies that follow until it is certain that this
// node still owned the partition when they were made. It proposes a record,
// which becomes durable only if no other node has claimed the partition.
// Without it, a node that was replaced but cannot be reached would answer from
// memory, without the calls that its successor has acknowledged.
func (c *Core) confirmOwnership(now time.Time, owned *ownedPartition, id api.ProgramID) {
	record := program.Record{At: now, Program: id, OwnershipConfirmed: &program.OwnershipConfirmed{}}
	c.apply(now, owned, program.Output{Records: []program.Record{record}}, nil)
}

// inScope reports whether the program exists on a branch that the request's
// bearer token may access.
func (c *Core) inScope(owned *ownedPartition, request Request) bool {
	described, ok := owned.store.Describe(request.Program)
	return ok && contract.Path(described.Branch).Within(request.Scope)
}

// answerDurably replies once everything decided so far is durable.
func (c *Core) answerDurably(now time.Time, owned *ownedPartition, handle uint64, reply Reply) {
	c.apply(now, owned, program.Output{}, &pendingReply{answer: &Answer{Handle: handle, Reply: reply}})
}

// command performs a command and replies with the program or call that it
// applied to.
func (c *Core) command(now time.Time, owned *ownedPartition, handle uint64, command program.Command) {
	if refusal := c.checkCapacity(owned); refusal != nil {
		c.reject(handle, refusal)
		return
	}
	output, refusal := owned.store.Step(now, command)
	if refusal != nil {
		c.answerDurably(now, owned, handle, Reply{Error: refusal})
		return
	}
	reply := Reply{Program: output.Program, Call: output.Call}
	c.apply(now, owned, output, &pendingReply{answer: &Answer{Handle: handle, Reply: reply}})
}

// checkCapacity refuses new work while records wait because the replica's
// unconfirmed records have reached their limit, as they do during a long outage
// of the log service.
func (c *Core) checkCapacity(owned *ownedPartition) *api.Error {
	if len(owned.unproposed) == 0 {
		return nil
	}
	refusal := api.Refuse(api.CodeStoreUnavailable, "the log service does not take records and the mirrors are full")
	return refusal.WithRetryAfter(int64(storeRetryAfter / time.Millisecond))
}

// storeRetryAfter is the retry-after delay of CodeStoreUnavailable.
const storeRetryAfter = 2 * time.Second

// create creates a program under the contract of its branch.
func (c *Core) create(now time.Time, owned *ownedPartition, handle uint64, request Request) {
	branch := contract.Path(request.Create.Branch)
	if request.Parent != "" && !c.parentInScope(owned, request) {
		c.reject(handle, api.Refuse(api.CodeNotFound, "no program %s", request.Parent).WithLocation("$.parent"))
		return
	}
	if !branch.Within(request.Scope) {
		c.reject(handle, api.Refuse(api.CodeForbidden, "branch %q is outside of the token's branch", branch).WithLocation("$.branch"))
		return
	}
	if partition.GroupOf(string(branch)) != owned.id.Group {
		c.reject(handle, api.Refuse(api.CodeBadRequest, "a sub-agent runs on its parent's branch, %q", owned.id.Group.Branch()).WithLocation("$.branch"))
		return
	}
	resolved, err := c.Tree().Resolve(branch)
	if err != nil {
		c.reject(handle, api.Refuse(api.CodeUnknownBranch, "%v", err).WithLocation("$.branch"))
		return
	}
	c.command(now, owned, handle, program.Command{
		Program: request.Program,
		Create:  &program.Create{Request: *request.Create, Parent: request.Parent, Terms: termsOf(resolved)},
	})
}

func (c *Core) parentInScope(owned *ownedPartition, request Request) bool {
	parent := request
	parent.Program = request.Parent
	return c.inScope(owned, parent)
}

// submit admits a call and replies once it is durable or, if the request waits,
// once it has ended.
func (c *Core) submit(now time.Time, owned *ownedPartition, handle uint64, request Request) {
	if refusal := c.checkCapacity(owned); refusal != nil {
		c.reject(handle, refusal)
		return
	}
	command := program.Command{
		Program: request.Program,
		Submit:  &program.Submit{Request: *request.Submit, InputTokens: c.config.Store.CountTokens(request.Submit.Input)},
	}
	output, refusal := owned.store.Step(now, command)
	if refusal != nil {
		c.answerDurably(now, owned, handle, Reply{Error: refusal})
		return
	}
	c.replyWithCall(now, owned, handle, request.Wait, output)
}

// replyWithCall replies with the output's call. A call that has ended is
// returned with its full answer; otherwise the reply has its current state or,
// if the request waits, is delayed until its end.
func (c *Core) replyWithCall(now time.Time, owned *ownedPartition, handle uint64, wait bool, output program.Output) {
	call := output.Call
	ref := program.CallRef{Program: call.Program, Sequence: call.Sequence}
	if call.Status.Terminal() {
		c.replyWithEnded(now, owned, handle, ref, output)
		return
	}
	if wait {
		owned.waiters[ref] = append(owned.waiters[ref], handle)
		c.apply(now, owned, output, nil)
		return
	}
	c.apply(now, owned, output, &pendingReply{answer: &Answer{Handle: handle, Reply: Reply{Call: call}}})
}

// replyWithEnded replies with a call that has ended, read from the stream.
func (c *Core) replyWithEnded(now time.Time, owned *ownedPartition, handle uint64, ref program.CallRef, output program.Output) {
	locations, ok := owned.store.History(ref.Program, ref.Sequence, 1)
	if !ok || len(locations) == 0 {
		c.apply(now, owned, output, &pendingReply{answer: &Answer{Handle: handle, Reply: Reply{Call: output.Call}}})
		return
	}
	fetch := FetchHistory{Handle: handle, Partition: owned.id, Program: ref.Program, Locations: locations, Single: true}
	c.apply(now, owned, output, &pendingReply{fetch: &fetch})
}

// describeCall replies with one call, by its sequence number or its key.
func (c *Core) describeCall(now time.Time, owned *ownedPartition, handle uint64, request Request) {
	call, ok := owned.store.Call(request.Program, request.Sequence, request.Key)
	if !ok {
		c.reject(handle, api.Refuse(api.CodeNotFound, "no such call in program %s", request.Program))
		return
	}
	c.replyWithCall(now, owned, handle, request.Wait, program.Output{Call: &call})
}

// history replies with one page of a program's calls.
func (c *Core) history(now time.Time, owned *ownedPartition, handle uint64, request Request) {
	limit := request.Limit
	if limit <= 0 || limit > maximumReplyItems {
		limit = maximumReplyItems
	}
	from := max(request.Sequence, 1)
	locations, _ := owned.store.History(request.Program, from, limit+1)
	fetch := FetchHistory{Handle: handle, Partition: owned.id, Program: request.Program, Locations: locations}
	if len(locations) > limit {
		fetch.Next = locations[limit].Sequence
		fetch.Locations = locations[:limit]
	}
	c.apply(now, owned, program.Output{}, &pendingReply{fetch: &fetch})
}

// maximumReplyItems limits the calls or programs in one reply.
const maximumReplyItems = 200

// list returns the programs of a branch that this node owns.
func (c *Core) list(request Request) Reply {
	limit := request.Limit
	if limit <= 0 {
		limit = maximumReplyItems
	}
	programs := []api.Program{}
	for _, owned := range c.sortedPartitions() {
		if !owned.serving() || len(programs) >= limit {
			continue
		}
		programs = append(programs, owned.store.List(string(request.Scope), limit-len(programs))...)
	}
	return Reply{Programs: programs}
}

// ProgramIDFor returns the ID of the program that a key names on a branch.
func (c *Core) ProgramIDFor(branch contract.Path, key string) (api.ProgramID, error) {
	resolved, err := c.Tree().Resolve(branch)
	if err != nil {
		return "", err
	}
	if resolved.Placement == "" {
		return "", errors.New("the branch permits no zone")
	}
	return partition.NewProgramID(string(branch), c.config.PartitionsPerBranch, key), nil
}

// Owner returns the node that owns, or should own, a partition, according to
// this node's view.
func (c *Core) Owner(id partition.ID) (machine.ID, bool) {
	if owned, ok := c.partitions[id]; ok {
		if owned.acquired {
			return c.config.Self.ID, true
		}
		owner, known := owned.replica.Owner()
		if owner != c.config.Self.ID || owned.replica.State() != partition.StateFollowing {
			return owner, known
		}
	}
	return partition.Owner(id, c.placement(id), c.routableNodes(), c.ownerHints[id])
}
