package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// configuration adds the routes for the configuration of all regions, which are not part of
// the protocol:
//
//	POST /api/config         change it; the body is the change, ?dry_run=true only checks it
//	GET  /api/config         a page of the teams by name, after ?after=NAME
//	GET  /api/config/status  how far the configuration is in force in each region
//	GET  /api/config/history the retained changes, the last one first
//	POST /api/config/rollback/{revision}
//	                         undo the changes after a revision, ?dry_run=true as above
func (s *Server) configuration(rt *httprouter.Router) {
	rt.POST("/api/config", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		body, err := read(q)
		if err != nil {
			write(w, refuse(http.StatusBadRequest, err.Error()))
			return
		}
		s.configOperation(w, q, rpc.Operation{Verb: rpc.VerbStart, Spec: body, Dry: dryRun(q)})
	})
	rt.GET("/api/config", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.configOperation(w, q, rpc.Operation{Verb: rpc.VerbList, Service: q.URL.Query().Get("after")})
	})
	rt.GET("/api/config/history", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.configOperation(w, q, rpc.Operation{Verb: rpc.VerbHistory})
	})
	rt.POST("/api/config/rollback/:revision", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		s.configOperation(w, q, rpc.Operation{Verb: rpc.VerbUndo, Service: p.ByName("revision"), Dry: dryRun(q)})
	})
	rt.GET("/api/config/status", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.configOperation(w, q, rpc.Operation{Verb: rpc.VerbStatus})
	})
}

// configOperation has the leader of the home region execute an operation, and answers with
// its reply.
func (s *Server) configOperation(w http.ResponseWriter, q *http.Request, op rpc.Operation) {
	body, err := wire.Marshal(op)
	if err != nil {
		write(w, refuse(http.StatusInternalServerError, err.Error()))
		return
	}
	s.user(w, q, &rpc.Request{Kind: rpc.KindConfig, Body: body}, submitTime)
}

// dryRun reports whether a change is only to be checked.
func dryRun(q *http.Request) bool { return q.URL.Query().Get("dry_run") == "true" }
