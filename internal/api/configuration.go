package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// routeConfiguration adds the routes for the configuration of all regions, which the protocol does
// not define:
//
//	POST /api/config         apply the change in the body; ?dry_run=true only checks it
//	GET  /api/config         list a page of the teams by name, after ?after=NAME
//	GET  /api/config/status  show the revision that is in force in each region
//	GET  /api/config/history list the retained changes, latest first
//	POST /api/config/rollback/{revision}
//	                         undo all changes after a revision; ?dry_run=true only checks it
func (s *Server) routeConfiguration(router *httprouter.Router) {
	router.POST("/api/config", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		body, err := readBody(r)
		if err != nil {
			writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
			return
		}
		s.configOperation(w, r, rpc.Operation{Verb: rpc.VerbStart, Spec: body, DryRun: dryRun(r)})
	})
	router.GET("/api/config", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.configOperation(w, r, rpc.Operation{Verb: rpc.VerbList, Name: r.URL.Query().Get("after")})
	})
	router.GET("/api/config/history", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.configOperation(w, r, rpc.Operation{Verb: rpc.VerbHistory})
	})
	router.POST("/api/config/rollback/:revision", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.configOperation(w, r, rpc.Operation{Verb: rpc.VerbRollback, Name: p.ByName("revision"), DryRun: dryRun(r)})
	})
	router.GET("/api/config/status", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.configOperation(w, r, rpc.Operation{Verb: rpc.VerbStatus})
	})
}

// configOperation passes an operation on the configuration to the backend, which has the leader of
// the home region execute it, and writes the reply.
func (s *Server) configOperation(w http.ResponseWriter, r *http.Request, op rpc.Operation) {
	body, err := wire.Marshal(op)
	if err != nil {
		writeReply(w, errorReply(http.StatusInternalServerError, err.Error()))
		return
	}
	s.serveUser(w, r, &rpc.Request{Kind: rpc.KindConfig, Body: body}, changeTimeout)
}

// dryRun reports whether a request asks to check a change without applying it.
func dryRun(r *http.Request) bool { return r.URL.Query().Get("dry_run") == "true" }
