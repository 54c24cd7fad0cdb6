package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
)

// routeRollouts adds the routes for operators' roll-outs, which the protocol does not define:
//
//	POST /api/rollouts                 start a roll-out; the body is its specification
//	GET  /api/rollouts                 list all roll-outs
//	GET  /api/rollouts/{service}       show the roll-out of a service
//	POST /api/rollouts/{service}/VERB  pause, resume or undo it
func (s *Server) routeRollouts(router *httprouter.Router) {
	router.POST("/api/rollouts", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.operateBody(w, r, rpc.KindRollout, rpc.Operation{Verb: rpc.VerbStart})
	})
	router.GET("/api/rollouts", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.operate(w, r, rpc.KindRollout, rpc.Operation{Verb: rpc.VerbList})
	})
	router.GET("/api/rollouts/:service", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.operate(w, r, rpc.KindRollout, rpc.Operation{Verb: rpc.VerbStatus, Name: p.ByName("service")})
	})
	router.POST("/api/rollouts/:service/:verb", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		switch verb := rpc.Verb(p.ByName("verb")); verb {
		case rpc.VerbPause, rpc.VerbResume, rpc.VerbRollback:
			s.operate(w, r, rpc.KindRollout, rpc.Operation{Verb: verb, Name: p.ByName("service")})
		default:
			writeReply(w, errorReply(http.StatusNotFound, "no such route"))
		}
	})
}
