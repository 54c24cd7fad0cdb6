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

// homeRegion reaches the leader of the home region from another region. Which of its
// controllers leads is found by asking them in turn.
type homeRegion struct {
	mesh    *rpc.Mesh
	members []string

	mu         sync.Mutex
	lastLeader int // that answered last
}

// homeAttemptTimeout bounds one try, so that a controller that is not reached leaves time for the
// next; a request to follow is held for a while by the one that leads.
const homeAttemptTimeout = 1500 * time.Millisecond

// errHomeUnreachable is returned where no controller of the home region answers as leader.
var errHomeUnreachable = errors.New("the home region is not to be reached")

func dialHome(addresses []string, dial state.DialFunc) (*homeRegion, error) {
	h := &homeRegion{}
	var siblings []config.Sibling
	for i, a := range addresses {
		name := fmt.Sprintf("home-%d", i)
		h.members = append(h.members, name)
		siblings = append(siblings, config.Sibling{Member: name, Address: a})
	}
	var err error
	h.mesh, err = rpc.Dial(siblings, dial)
	return h, err
}

func (h *homeRegion) close() { h.mesh.Close() }

// tryControllers calls try for the controllers, from the one that answered last on, until one
// answers as leader.
func (h *homeRegion) tryControllers(ctx context.Context, try func(ctx context.Context, member string) bool) error {
	h.mu.Lock()
	first := h.lastLeader
	h.mu.Unlock()
	for i := range h.members {
		if ctx.Err() != nil {
			break
		}
		at := (first + i) % len(h.members)
		tctx, cancel := context.WithTimeout(ctx, homeAttemptTimeout)
		ok := try(tctx, h.members[at])
		cancel()
		if ok {
			h.mu.Lock()
			h.lastLeader = at
			h.mu.Unlock()
			return nil
		}
	}
	return errHomeUnreachable
}

// follow asks for what is granted to this region.
func (h *homeRegion) follow(ctx context.Context, q *dynconfig.Request) (out *dynconfig.Reply, err error) {
	err = h.tryControllers(ctx, func(ctx context.Context, member string) bool {
		p, ferr := h.mesh.Follow(ctx, member, q)
		if ferr != nil || p.Refused != "" {
			return false
		}
		out = p
		return true
	})
	return out, err
}

// forward hands an operator's request on.
func (h *homeRegion) forward(ctx context.Context, q *rpc.Request) (out *rpc.Reply) {
	err := h.tryControllers(ctx, func(ctx context.Context, member string) bool {
		p, ferr := h.mesh.Forward(ctx, member, q)
		if ferr != nil || (p.Status == http.StatusServiceUnavailable && !p.Settled) {
			return false
		}
		out = p
		return true
	})
	if err != nil {
		return control.Later(err.Error())
	}
	return out
}
