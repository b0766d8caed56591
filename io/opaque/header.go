package opaque

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
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

// endToEnd returns a copy of a header less what concerns the connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// forwardHeader returns the header that goes to endpoints.
func (x *exchange) forwardHeader() http.Header {
	header := endToEnd(x.request.Header)
	x.server.Dialect.CompleteHeader(header, x.request.Header)
	return header
}

// lineOverhead is the length of a header line beside its name and value.
const lineOverhead = len(": \r\n")

// headerBytes returns the length of a header without its first line.
func headerBytes(header http.Header) int {
	total := 0
	for name, values := range header {
		for _, value := range values {
			total += len(name) + len(value) + lineOverhead
		}
	}
	return total
}
