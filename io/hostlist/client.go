package hostlist

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"

	"cactuswell/io/httpjson"
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
	Cause error
}

// Error describes the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("host list unavailable: %v", e.Cause)
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
	var list ListResponse
	if err := httpjson.Get(ctx, c.http, c.base+"/v1/hosts", maxListBytes, &list); err != nil {
		return ListResponse{}, trace.Wrap(&UnavailableError{Cause: err})
	}
	return list, nil
}
