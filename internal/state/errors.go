package state

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"vetchstream/internal/wire"
)

var (
	// ErrNotFound means that the key or the lease does not exist (status 404).
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the request was not executed and will not be: the service
	// refused it (status 429 or 503), or its context was done before the budget allowed
	// it.
	ErrRefused = errors.New("state service refused the request")
	// ErrOutcomeUnknown means that no complete response was received. The request may
	// have been executed, or may still be executed.
	ErrOutcomeUnknown = errors.New("state service did not answer, outcome of the request is unknown")
	// ErrConflict means that a condition of the transaction does not hold (status
	// 409). The returned error is a *ConflictError.
	ErrConflict = errors.New("state transaction condition failed")
	// ErrRejected means that the service rejected the request as malformed or too large
	// (status 400).
	ErrRejected = errors.New("state service rejected the request")
	// ErrCompacted means that the service has compacted the changes that a watch asked
	// for (status 410).
	ErrCompacted = errors.New("requested changes have been compacted")
)

// ConflictError is an ErrConflict with the keys whose conditions do not hold, if the
// service has returned them.
type ConflictError struct {
	FailedKeys []string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%v: %s", ErrConflict, strings.Join(e.FailedKeys, ", "))
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// StatusError is a response with an unexpected status. It matches none of the sentinel
// errors.
type StatusError struct {
	Status int    // HTTP status code of the response
	Method string // of the request
	Path   string // of the request, including the query
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("state service: status %d: %s %s", e.Status, e.Method, e.Path)
}

// decodeResponse decodes the content of a response into out, or returns the error for
// its status.
func decodeResponse(status int, content []byte, out any, method, path string) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(content, out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		var body conflictResponse
		_ = wire.Unmarshal(content, &body) // without the keys the response is still a conflict
		return &ConflictError{FailedKeys: body.FailedKeys}
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
