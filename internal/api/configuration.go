package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// routeConfiguration are the routes for what holds in all regions, beside the protocol's own:
//
//	POST /api/config         change it; the body is the change, ?dry_run=true only checks it
//	GET  /api/config         a page of the teams by name, after ?after=NAME
//	GET  /api/config/status  how far each region is
//	GET  /api/config/history the changes that are kept, the last one first
//	POST /api/config/rollback/{revision}
//	                         take back what came after a revision, ?dry_run=true as above
func (s *Server) routeConfiguration(rt *httprouter.Router) {
	operate := func(w http.ResponseWriter, q *http.Request, op rpc.Operation) {
		b, err := wire.Marshal(op)
		if err != nil {
			writeReply(w, errorReply(http.StatusInternalServerError, err.Error()))
			return
		}
		s.serveUser(w, q, &rpc.Request{Kind: rpc.KindConfig, Body: b}, changeTimeout)
	}
	rt.POST("/api/config", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		body, err := readBody(q)
		if err != nil {
			writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
			return
		}
		operate(w, q, rpc.Operation{Verb: rpc.VerbStart, Spec: body, DryRun: dryRun(q)})
	})
	rt.GET("/api/config", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		operate(w, q, rpc.Operation{Verb: rpc.VerbList, Name: q.URL.Query().Get("after")})
	})
	rt.GET("/api/config/history", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		operate(w, q, rpc.Operation{Verb: rpc.VerbHistory})
	})
	rt.POST("/api/config/rollback/:revision", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		operate(w, q, rpc.Operation{Verb: rpc.VerbRollback, Name: p.ByName("revision"), DryRun: dryRun(q)})
	})
	rt.GET("/api/config/status", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		operate(w, q, rpc.Operation{Verb: rpc.VerbStatus})
	})
}

// dryRun reports whether a change is only to be checked.
func dryRun(q *http.Request) bool { return q.URL.Query().Get("dry_run") == "true" }
