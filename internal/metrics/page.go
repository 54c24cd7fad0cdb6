package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits of the server of the metrics page.
const (
	maxPagesInFlight = 2
	pageTimeout      = 5 * time.Second
	readTimeout      = 5 * time.Second
	writeTimeout     = 10 * time.Second
	idleTimeout      = 30 * time.Second
	maxHeaderBytes   = 8 << 10
)

// Handler returns a handler that serves the metrics page at GET /metrics.
func (m *Meter) Handler() (http.Handler, error) {
	registry := prometheus.NewRegistry()
	if err := registry.Register(m); err != nil {
		return nil, fmt.Errorf("metrics: register the meter: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		MaxRequestsInFlight: maxPagesInFlight,
		Timeout:             pageTimeout,
	}))
	return mux, nil
}

// Serve serves the metrics page on the listener until the context ends. It returns an error if it
// stops serving before that.
func (m *Meter) Serve(ctx context.Context, listener net.Listener) error {
	handler, err := m.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:        handler,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("metrics: serve the page: %w", err)
	}
	return nil
}
