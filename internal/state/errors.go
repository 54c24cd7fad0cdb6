package state

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"vetchstream/internal/wire"
)

var (
	// ErrNotFound means that there is no such key or lease (status 404).
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the request was certainly not executed: the service
	// refused it (status 429 or 503), or the context ended while the request waited
	// for the budget.
	ErrRefused = errors.New("state service refused")
	// ErrOutcomeUnknown means that no response came; the request may have been executed,
	// or may still be.
	ErrOutcomeUnknown = errors.New("state service did not answer")
	// ErrConflict means that a condition of the transaction does not hold (status
	// 409); the error is a *ConflictError.
	ErrConflict = errors.New("condition failed")
	// ErrRejected means that the service considers the request malformed or too
	// large (status 400).
	ErrRejected = errors.New("state service rejected the request")
	// ErrCompacted means that a watch asked for changes that the service has compacted
	// away (status 410).
	ErrCompacted = errors.New("history is gone")
)

// ConflictError is an ErrConflict with the keys whose conditions do not hold, as
// far as the service names them.
type ConflictError struct {
	FailedKeys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(e.FailedKeys, ", "))
}

// Is makes a ConflictError an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// StatusError is a response with a status that the client does not expect; it
// matches none of the sentinel errors.
type StatusError struct {
	Status int    // HTTP status code of the response
	Method string // of the request
	Path   string // of the request, with its query
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("state service: status %d: %s %s", e.Status, e.Method, e.Path)
}

// decodeResponse decodes the body b of a response into out, or returns the error
// that its status stands for.
func decodeResponse(status int, b []byte, out any, method, path string) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(b, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var body conflictResponse
		_ = wire.Unmarshal(b, &body) // without the names it is a conflict all the same
		return &ConflictError{FailedKeys: body.Failed}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrRefused, status)
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %s %s", ErrRejected, method, path)
	case http.StatusGone:
		return ErrCompacted
	default:
		return &StatusError{Status: status, Method: method, Path: path}
	}
}
