package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gravitational/trace"

	"cactuswell/core/record"
	"cactuswell/io/httphead"
	"cactuswell/io/httpjson"
)

// maxResponseBytes bounds how much of a response is read.
const maxResponseBytes = 64 << 20

// Client is a Log that uses HTTP.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the log service with the given base URL.
func New(base string, httpClient *http.Client) *Client {
	return &Client{
		base: base,
		http: httpClient,
	}
}

// CloseIdleConnections closes the connections that are not in use.
func (c *Client) CloseIdleConnections() {
	c.http.CloseIdleConnections()
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error) {
	body, err := json.Marshal(AppendRequest{
		Records: records,
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream, nil), bytes.NewReader(body))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	// Without GetBody, http.Transport cannot retry the request by itself. A
	// retried append could take effect twice.
	request.GetBody = nil
	var response AppendResponse
	if err := c.do(request, &response); err != nil {
		return 0, err
	}
	return response.FirstOffset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream record.Stream, from record.Offset, options ReadOptions) (ReadResponse, error) {
	query := url.Values{}
	query.Set("from", strconv.FormatInt(int64(from), 10))
	if options.Limit > 0 {
		query.Set("limit", strconv.Itoa(options.Limit))
	}
	if options.Wait > 0 {
		query.Set("waitMs", strconv.FormatInt(options.Wait.Milliseconds(), 10))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream, query), nil)
	if err != nil {
		return ReadResponse{}, trace.Wrap(err)
	}
	var response ReadResponse
	if err := c.do(request, &response); err != nil {
		return ReadResponse{}, err
	}
	if from < response.OldestOffset {
		return response, trace.Wrap(&TruncatedError{Oldest: response.OldestOffset})
	}
	return response, nil
}

func (c *Client) recordsURL(stream record.Stream, query url.Values) string {
	address := c.base + "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	return address
}

func (c *Client) do(request *http.Request, into any) error {
	response, err := c.http.Do(request.WithContext(httphead.WithTrace(request.Context())))
	if err != nil {
		return trace.Wrap(&UnavailableError{Cause: err})
	}
	defer func() { _ = response.Body.Close() }()
	if err := httphead.Check(response); err != nil {
		return trace.Wrap(&UnavailableError{Cause: err})
	}
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		return trace.Wrap(&RefusedError{
			Status:     response.StatusCode,
			RetryAfter: httpjson.RetryAfter(response.Header),
		})
	case response.StatusCode != http.StatusOK:
		return trace.Wrap(&UnavailableError{Cause: &StatusError{Status: response.StatusCode}})
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(into); err != nil {
		return trace.Wrap(&UnavailableError{Cause: err})
	}
	return nil
}
