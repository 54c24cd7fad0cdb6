package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// routeCalendar are the routes for reservations and maintenance windows, beside the
// protocol's own; PLACE is reservations or maintenance:
//
//	POST /api/PLACE                create one; the body is its specification
//	GET  /api/PLACE                a page of them by name, after ?after=NAME
//	GET  /api/PLACE/{name}         one
//	POST /api/PLACE/{name}/cancel  cancel it
//
// With ?team=NAME a request sees and changes that team's reservations alone.
func (s *Server) routeCalendar(rt *httprouter.Router) {
	for place, window := range map[string]bool{"/api/reservations": false, "/api/maintenance": true} {
		operate := func(w http.ResponseWriter, q *http.Request, op rpc.Operation) {
			op.Window, op.Team = window, q.URL.Query().Get("team")
			b, err := wire.Marshal(op)
			if err != nil {
				writeReply(w, errorReply(http.StatusInternalServerError, err.Error()))
				return
			}
			s.serveUser(w, q, &rpc.Request{Kind: rpc.KindCalendar, Body: b}, changeTimeout)
		}
		rt.POST(place, func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
			body, err := readBody(q)
			if err != nil {
				writeReply(w, errorReply(http.StatusBadRequest, err.Error()))
				return
			}
			operate(w, q, rpc.Operation{Verb: rpc.VerbStart, Spec: body})
		})
		rt.GET(place, func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
			operate(w, q, rpc.Operation{Verb: rpc.VerbList, Name: q.URL.Query().Get("after")})
		})
		rt.GET(place+"/:name", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
			operate(w, q, rpc.Operation{Verb: rpc.VerbStatus, Name: p.ByName("name")})
		})
		rt.POST(place+"/:name/cancel", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
			operate(w, q, rpc.Operation{Verb: rpc.VerbCancel, Name: p.ByName("name")})
		})
	}
}
