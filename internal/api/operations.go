package api

import (
	"net/http"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// operate passes an operator's operation to the backend, which has the leader execute it, and
// writes the reply.
func (s *Server) operate(w http.ResponseWriter, r *http.Request, kind rpc.RequestKind, op rpc.Operation) {
	body, err := wire.Marshal(op)
	if err != nil {
		writeReply(w, errorReply(http.StatusInternalServerError, err.Error()))
		return
	}
	s.serveUser(w, r, &rpc.Request{Kind: kind, Body: body}, changeTimeout)
}

// operateBody calls operate with the request's body as the specification of the operation.
func (s *Server) operateBody(w http.ResponseWriter, r *http.Request, kind rpc.RequestKind, op rpc.Operation) {
	body, err := readBody(r)
	if err != nil {
		writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	op.Spec = body
	s.operate(w, r, kind, op)
}
