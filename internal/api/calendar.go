package api

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"vetchstream/internal/rpc"
)

// routeCalendar adds the routes for reservations and maintenance windows, which the protocol
// does not define. KIND is reservations or maintenance:
//
//	POST /api/KIND                 create an entry; the body is its specification
//	GET  /api/KIND                 list a page of entries by name, after ?after=NAME
//	GET  /api/KIND/{name}          show an entry
//	POST /api/KIND/{name}/cancel   cancel an entry
//
// ?team=NAME confines a request to the reservations of that team.
func (s *Server) routeCalendar(router *httprouter.Router) {
	s.routeCalendarEntries(router, "/api/reservations", false)
	s.routeCalendarEntries(router, "/api/maintenance", true)
}

// routeCalendarEntries adds the routes below a path, for maintenance windows if window is set and
// for reservations otherwise.
func (s *Server) routeCalendarEntries(router *httprouter.Router, path string, window bool) {
	operation := func(r *http.Request, verb rpc.Verb, name string) rpc.Operation {
		return rpc.Operation{Verb: verb, Name: name, Window: window, Team: r.URL.Query().Get("team")}
	}
	router.POST(path, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.operateBody(w, r, rpc.KindCalendar, operation(r, rpc.VerbStart, ""))
	})
	router.GET(path, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s.operate(w, r, rpc.KindCalendar, operation(r, rpc.VerbList, r.URL.Query().Get("after")))
	})
	router.GET(path+"/:name", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.operate(w, r, rpc.KindCalendar, operation(r, rpc.VerbStatus, p.ByName("name")))
	})
	router.POST(path+"/:name/cancel", func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		s.operate(w, r, rpc.KindCalendar, operation(r, rpc.VerbCancel, p.ByName("name")))
	})
}
