package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
)

// maxListBytes bounds the list.
const maxListBytes = 32 << 20

// Lister is the platform's host list as the rest of the system sees it.
type Lister interface {
	// Fetch returns the whole list. The error is an *UnavailableError.
	Fetch(ctx context.Context) (ListResponse, error)
}

// UnavailableError says that the host list gave no usable answer.
type UnavailableError struct {
	Status int
	Cause  error
}

// Error describes the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("host list unavailable: status %d: %v", e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client is a Lister that is reached over HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the host list at the base URL.
func New(base string, httpClient *http.Client) *Client {
	return &Client{
		base: base,
		http: httpClient,
	}
}

// Fetch implements Lister.
func (c *Client) Fetch(ctx context.Context) (ListResponse, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/hosts", nil)
	if err != nil {
		return ListResponse{}, trace.Wrap(&UnavailableError{Cause: err})
	}
	response, err := c.http.Do(request)
	if err != nil {
		return ListResponse{}, trace.Wrap(&UnavailableError{Cause: err})
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ListResponse{}, trace.Wrap(&UnavailableError{Status: response.StatusCode})
	}
	var list ListResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&list); err != nil {
		return ListResponse{}, trace.Wrap(&UnavailableError{Cause: err})
	}
	return list, nil
}
