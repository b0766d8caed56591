package opaque

import (
	"net/http"
	"strings"
)

// hopByHopHeaders are the fields that apply to a single connection.
var hopByHopHeaders = []string{
	"Connection",
	"Content-Length",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEndHeader returns a copy of a header without the hop-by-hop fields and the
// fields that its Connection header lists.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// newForwardedHeader returns the header that all attempts send to endpoints.
func (x *exchange) newForwardedHeader() http.Header {
	header := endToEndHeader(x.request.Header)
	x.server.Dialect.CompleteHeader(header, x.request.Header)
	return header
}

// headerLineOverhead is the length of a header line without its name and value.
const headerLineOverhead = len(": \r\n")

// headerSize returns the size of a header in bytes, without the request line.
func headerSize(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + headerLineOverhead
		}
	}
	return total
}
