package weightstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/gravitational/trace"

	"cactuswell/io/httpjson"
)

// maxAnswerBytes bounds the store's answers.
const maxAnswerBytes = 64 * 1024

// Store is the platform's weight store as the rest of the system sees it.
type Store interface {
	// Limits returns the store's rate limit.
	Limits(ctx context.Context) (LimitsResponse, error)
	// Describe returns the size of a version's weights.
	Describe(ctx context.Context, model, version string) (DescribeResponse, error)
}

// UnavailableError says that the weight store gave no usable answer.
type UnavailableError struct {
	Cause error
}

// Error describes the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("weight store unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Client is a Store that is reached over HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the weight store at the base URL.
func New(base string, httpClient *http.Client) *Client {
	return &Client{
		base: base,
		http: httpClient,
	}
}

// Limits implements Store.
func (c *Client) Limits(ctx context.Context) (LimitsResponse, error) {
	var response LimitsResponse
	err := c.get(ctx, "/v1/limits", &response)
	return response, err
}

// Describe implements Store.
func (c *Client) Describe(ctx context.Context, model, version string) (DescribeResponse, error) {
	var response DescribeResponse
	err := c.get(ctx, "/v1/weights/"+url.PathEscape(model)+"/"+url.PathEscape(version), &response)
	return response, err
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	if err := httpjson.Get(ctx, c.http, c.base+path, maxAnswerBytes, into); err != nil {
		return trace.Wrap(&UnavailableError{Cause: err})
	}
	return nil
}
