package autoscale

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"vetchstream/internal/wire"
)

// TestProvisionErrors: a refusal for lack of capacity and a failure that may be repeated are told
// apart.
func TestProvisionErrors(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   any
		want   error
	}{
		{"granted", 200, wire.MachineNames{Names: []string{"host-000001"}}, nil},
		{"no capacity", 503, wire.Error{Error: "no capacity"}, ErrNoCapacity},
		{"outage", 503, wire.Error{Error: "trouble"}, ErrUnavailable},
		{"too many requests", 429, nil, ErrUnavailable},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			body, err := wire.Marshal(tt.body)
			if err != nil {
				t.Error(err)
			}
			w.WriteHeader(tt.status)
			_, _ = w.Write(body)
		}))
		cloud := NewCloud(server.Listener.Addr().String(), (&net.Dialer{}).DialContext, 100)
		_, err := cloud.Provision(context.Background(), wire.RentalRequest{})
		server.Close()
		if !errors.Is(err, tt.want) {
			t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
		}
	}
}
