package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
)

// routeRollouts adds the routes for operators' roll-outs, beside the protocol's own:
//
//	POST /api/rollouts                 start one; the body is its specification
//	GET  /api/rollouts                 all of them
//	GET  /api/rollouts/{service}       one
//	POST /api/rollouts/{service}/VERB  pause, resume or undo it
func (s *Server) routeRollouts(rt *httprouter.Router) {
	rt.POST("/api/rollouts", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.operateBody(w, q, rpc.KindRollout, rpc.Operation{Verb: rpc.VerbStart})
	})
	rt.GET("/api/rollouts", func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.operate(w, q, rpc.KindRollout, rpc.Operation{Verb: rpc.VerbList})
	})
	rt.GET("/api/rollouts/:service", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		s.operate(w, q, rpc.KindRollout, rpc.Operation{Verb: rpc.VerbStatus, Name: p.ByName("service")})
	})
	rt.POST("/api/rollouts/:service/:verb", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		switch verb := rpc.Verb(p.ByName("verb")); verb {
		case rpc.VerbPause, rpc.VerbResume, rpc.VerbRollback:
			s.operate(w, q, rpc.KindRollout, rpc.Operation{Verb: verb, Name: p.ByName("service")})
		default:
			writeReply(w, errorReply(http.StatusNotFound, "no such route"))
		}
	})
}
