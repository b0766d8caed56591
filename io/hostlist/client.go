package hostlist

import (
	"context"
	"encoding/json"
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

// encodedList is the list with its entries as they were received.
type encodedList struct {
	Revision uint64            `json:"revision"`
	Entries  []json.RawMessage `json:"entries"`
}

// Fetch implements Lister. Entries that name no endpoint to use are left out.
func (c *Client) Fetch(ctx context.Context) (ListResponse, error) {
	var encoded encodedList
	if err := httpjson.Get(ctx, c.http, c.base+"/v1/hosts", maxListResponseBytes, &encoded); err != nil {
		return ListResponse{}, trace.Wrap(&UnavailableError{Cause: err})
	}
	list := ListResponse{Revision: encoded.Revision}
	for _, text := range encoded.Entries {
		// After a field of another type, the fields that follow are decoded as well.
		var entry Entry
		if err := json.Unmarshal(text, &entry); err != nil || !entry.isUsable() {
			list.Unusable = append(list.Unusable, entry.Name)
			continue
		}
		list.Entries = append(list.Entries, entry)
	}
	return list, nil
}
