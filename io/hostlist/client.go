package hostlist

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"cactuswell/io/httpjson"
)

// maxListResponseBytes bounds the size of the list in JSON.
const maxListResponseBytes = 32 << 20

// Lister fetches the platform's host list.
type Lister interface {
	// Fetch returns the complete list. The error is an *UnavailableError.
	Fetch(ctx context.Context) (ListResponse, error)
}

// UnavailableError means that there was no usable response from the host list.
type UnavailableError struct {
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("host list unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client is a Lister that uses HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the host list with the given base URL.
func New(base string, httpClient *http.Client) *Client {
	return &Client{
		base: base,
		http: httpClient,
	}
}

// Fetch implements Lister.
func (c *Client) Fetch(ctx context.Context) (ListResponse, error) {
	var list ListResponse
	if err := httpjson.Get(ctx, c.http, c.base+"/v1/hosts", maxListResponseBytes, &list); err != nil {
		return ListResponse{}, trace.Wrap(&UnavailableError{Cause: err})
	}
	return list, nil
}
