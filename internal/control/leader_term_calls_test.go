package control

import (
	"context"
	"testing"
)

// TestQueryActor: the first answer is returned, whether the query gives it at once or later;
// none comes once the term or the caller's context has ended.
func TestQueryActor(t *testing.T) {
	first, second := 1, 2
	answer := func(respond func(*int)) {
		respond(&first)
		respond(&second)
	}
	tests := []struct {
		name      string
		endTerm   bool
		endCaller bool
		query     func(respond func(*int))
		want      *int
	}{
		{name: "answered", query: answer, want: &first},
		{name: "answered later", query: func(respond func(*int)) { go answer(respond) }, want: &first},
		{name: "term ended", endTerm: true, query: func(func(*int)) {}},
		{name: "caller gave up", endCaller: true, query: func(func(*int)) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			term, endTerm := context.WithCancel(t.Context())
			defer endTerm()
			caller, endCaller := context.WithCancel(t.Context())
			defer endCaller()
			queue := make(chan func(), 1)
			go func() { (<-queue)() }()
			query := func(respond func(*int)) {
				tt.query(respond)
				if tt.endTerm {
					endTerm()
				}
				if tt.endCaller {
					endCaller()
				}
			}
			if got := queryActor(caller, &core{ctx: term}, queue, query); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
