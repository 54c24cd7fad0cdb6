package api

import (
	"net/http"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// operate hands an operator's request to the leader and writes the reply.
func (s *Server) operate(w http.ResponseWriter, q *http.Request, kind rpc.RequestKind, op rpc.Operation) {
	body, err := wire.Marshal(op)
	if err != nil {
		writeReply(w, errorReply(http.StatusInternalServerError, err.Error()))
		return
	}
	s.serveUser(w, q, &rpc.Request{Kind: kind, Body: body}, changeTimeout)
}

// operateBody is operate for an operation whose specification is the request's body.
func (s *Server) operateBody(w http.ResponseWriter, q *http.Request, kind rpc.RequestKind, op rpc.Operation) {
	body, err := readBody(q)
	if err != nil {
		writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
		return
	}
	op.Spec = body
	s.operate(w, q, kind, op)
}
