package operator

import (
	"context"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/partition"
)

// acceptLossAnswer is the answer of the route that accepts the loss of records.
type acceptLossAnswer struct {
	Accepted partition.ID `json:"accepted"`
}

// listPartitions answers with the partitions that this node owns or is taking
// over, including what a stalled recovery waits for.
func (s *Server) listPartitions(ctx context.Context, _ *fasthttp.RequestCtx, _ actor) (any, *api.Error) {
	owned, err := s.service.PartitionStatuses(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	return owned, nil
}

// acceptLoss lets a stalled recovery on this node continue. It refuses a
// partition whose recovery is not stalled, so that a mistyped ID has no effect.
func (s *Server) acceptLoss(ctx context.Context, request *fasthttp.RequestCtx, who actor) (any, *api.Error) {
	if refusal := who.requireWholeTree(); refusal != nil {
		return nil, refusal
	}
	id, err := partition.Parse(string(pathMachine(request)))
	if err != nil {
		return nil, api.Refuse(api.CodeBadRequest, "%v", err).WithLocation("path id")
	}
	owned, err := s.service.PartitionStatuses(ctx)
	if err != nil {
		return nil, serviceError(err)
	}
	for _, status := range owned {
		if status.Partition != id || status.Stall == nil {
			continue
		}
		if err := s.service.AcceptLoss(ctx, id); err != nil {
			return nil, serviceError(err)
		}
		return acceptLossAnswer{Accepted: id}, nil
	}
	return nil, api.Refuse(api.CodeConflict, "the recovery of partition %s does not wait on this node", id).WithLocation("path id")
}
