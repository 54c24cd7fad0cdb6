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

// TestProvisionErrors checks that Provision returns ErrNoCapacity for a refusal for lack of
// capacity, and ErrUnavailable for a failure that may be retried.
func TestProvisionErrors(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   any
		want   error
	}{
		{"status 200: no error", 200, wire.MachineNames{Names: []string{"host-000001"}}, nil},
		{"status 503 without capacity: ErrNoCapacity", 503, wire.Error{Error: "no capacity"}, ErrNoCapacity},
		{"status 503 for an outage: ErrUnavailable", 503, wire.Error{Error: "trouble"}, ErrUnavailable},
		{"status 429 without an error text: ErrUnavailable", 429, nil, ErrUnavailable},
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
			t.Errorf("%s: Provision returned error %v, want %v", tt.name, err, tt.want)
		}
	}
}
