package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/control"
	"vetchstream/internal/dynconfig"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
)

// homeRegion is a client of the home region's controllers. It sends requests to the leader
// of the home region, which it finds by trying the controllers in turn.
type homeRegion struct {
	mesh    *rpc.Mesh
	members []string

	mu         sync.Mutex
	lastLeader int // index of the member that last answered as leader
}

// homeAttemptTimeout bounds a request to one controller, so that an unreachable controller
// leaves time for the next. It exceeds the time for which the leader holds a request to
// follow the configuration.
const homeAttemptTimeout = 1500 * time.Millisecond

// errHomeUnreachable is returned if no controller of the home region answers as leader.
var errHomeUnreachable = errors.New("no leader of the home region is reachable")

// dialHome creates a client for the controllers at the addresses. Connections are opened
// on first use.
func dialHome(addresses []string, dial state.DialFunc) (*homeRegion, error) {
	h := &homeRegion{}
	var siblings []config.Sibling
	for i, address := range addresses {
		name := fmt.Sprintf("home-%d", i)
		h.members = append(h.members, name)
		siblings = append(siblings, config.Sibling{Member: name, Address: address})
	}
	var err error
	h.mesh, err = rpc.Dial(siblings, dial)
	return h, err
}

func (h *homeRegion) close() { h.mesh.Close() }

// tryControllers calls attempt for each controller, starting with the one that last
// answered as leader, until attempt reports that a controller has answered as leader. It
// returns errHomeUnreachable if none has.
func (h *homeRegion) tryControllers(ctx context.Context, attempt func(ctx context.Context, member string) bool) error {
	first := h.leaderIndex()
	for i := range h.members {
		if ctx.Err() != nil {
			break
		}
		index := (first + i) % len(h.members)
		attemptCtx, cancel := context.WithTimeout(ctx, homeAttemptTimeout)
		ok := attempt(attemptCtx, h.members[index])
		cancel()
		if ok {
			h.setLeaderIndex(index)
			return nil
		}
	}
	return errHomeUnreachable
}

func (h *homeRegion) leaderIndex() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastLeader
}

func (h *homeRegion) setLeaderIndex(index int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastLeader = index
}

// follow sends a request to follow the configuration to the leader of the home region.
func (h *homeRegion) follow(ctx context.Context, request *dynconfig.Request) (out *dynconfig.Reply, err error) {
	err = h.tryControllers(ctx, func(ctx context.Context, member string) bool {
		reply, callErr := h.mesh.FollowConfig(ctx, member, request)
		if callErr != nil || reply.Refused != "" {
			return false
		}
		out = reply
		return true
	})
	return out, err
}

// forward forwards an operator's request to the leader of the home region. If no leader is
// reachable, the reply asks the operator to retry.
func (h *homeRegion) forward(ctx context.Context, request *rpc.Request) (out *rpc.Reply) {
	err := h.tryControllers(ctx, func(ctx context.Context, member string) bool {
		reply, callErr := h.mesh.Forward(ctx, member, request)
		if callErr != nil || (reply.Status == http.StatusServiceUnavailable && !reply.Final) {
			return false
		}
		out = reply
		return true
	})
	if err != nil {
		return control.Unavailable(err.Error())
	}
	return out
}
