package control

import (
	"context"
	"testing"
)

// TestQueryActor checks that queryActor returns the first response, whether it comes at
// once or later, and nil if the term or the caller's context ends first.
func TestQueryActor(t *testing.T) {
	first, second := 1, 2
	respondTwice := func(respond func(*int)) {
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
		{name: "an immediate response is returned", query: respondTwice, want: &first},
		{name: "a later response is returned", query: func(respond func(*int)) { go respondTwice(respond) }, want: &first},
		{name: "nil is returned when the term ends", endTerm: true, query: func(func(*int)) {}},
		{name: "nil is returned when the caller's context ends", endCaller: true, query: func(func(*int)) {}},
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
				t.Errorf("response: got %v, want %v", got, tt.want)
			}
		})
	}
}
