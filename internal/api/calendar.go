package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
)

// routeCalendar adds the routes for reservations and maintenance windows, beside the
// protocol's own; PLACE is reservations or maintenance:
//
//	POST /api/PLACE                create one; the body is its specification
//	GET  /api/PLACE                a page of them by name, after ?after=NAME
//	GET  /api/PLACE/{name}         one
//	POST /api/PLACE/{name}/cancel  cancel it
//
// With ?team=NAME a request sees and changes that team's reservations alone.
func (s *Server) routeCalendar(rt *httprouter.Router) {
	s.routeCalendarEntries(rt, "/api/reservations", false)
	s.routeCalendarEntries(rt, "/api/maintenance", true)
}

// routeCalendarEntries adds the routes below a path for maintenance windows or reservations.
func (s *Server) routeCalendarEntries(rt *httprouter.Router, path string, window bool) {
	operation := func(q *http.Request, verb rpc.Verb, name string) rpc.Operation {
		return rpc.Operation{Verb: verb, Name: name, Window: window, Team: q.URL.Query().Get("team")}
	}
	rt.POST(path, func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.operateBody(w, q, rpc.KindCalendar, operation(q, rpc.VerbStart, ""))
	})
	rt.GET(path, func(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
		s.operate(w, q, rpc.KindCalendar, operation(q, rpc.VerbList, q.URL.Query().Get("after")))
	})
	rt.GET(path+"/:name", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		s.operate(w, q, rpc.KindCalendar, operation(q, rpc.VerbStatus, p.ByName("name")))
	})
	rt.POST(path+"/:name/cancel", func(w http.ResponseWriter, q *http.Request, p httprouter.Params) {
		s.operate(w, q, rpc.KindCalendar, operation(q, rpc.VerbCancel, p.ByName("name")))
	})
}
