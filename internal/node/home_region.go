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

// homeRegion is the client of another region's controllers: it calls the leader of the home
// region, which it finds by trying the controllers in turn.
type homeRegion struct {
	mesh    *rpc.Mesh
	members []string

	mu         sync.Mutex
	lastLeader int // index of the member that answered last
}

// homeAttemptTimeout bounds one attempt, so that a controller that cannot be reached leaves
// time for the next. It is longer than the leader holds a request to follow.
const homeAttemptTimeout = 1500 * time.Millisecond

// errHomeUnreachable is returned if no controller of the home region answers as leader.
var errHomeUnreachable = errors.New("the home region is not to be reached")

// dialHome makes the client for the controllers at these addresses. Connections are made
// when they are first used.
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

// tryControllers calls attempt for the controllers, from the one that answered last on,
// until it reports that one has answered as leader. The error is errHomeUnreachable.
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

// follow sends a request to follow the configuration.
func (h *homeRegion) follow(ctx context.Context, q *dynconfig.Request) (out *dynconfig.Reply, err error) {
	err = h.tryControllers(ctx, func(ctx context.Context, member string) bool {
		p, callErr := h.mesh.Follow(ctx, member, q)
		if callErr != nil || p.Refused != "" {
			return false
		}
		out = p
		return true
	})
	return out, err
}

// forward forwards an operator's request. If no leader is reached the reply tells the
// operator to try again.
func (h *homeRegion) forward(ctx context.Context, q *rpc.Request) (out *rpc.Reply) {
	err := h.tryControllers(ctx, func(ctx context.Context, member string) bool {
		p, callErr := h.mesh.Forward(ctx, member, q)
		if callErr != nil || (p.Status == http.StatusServiceUnavailable && !p.Settled) {
			return false
		}
		out = p
		return true
	})
	if err != nil {
		return control.Unavailable(err.Error())
	}
	return out
}
