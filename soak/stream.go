package soak

import (
	"fmt"
	"strings"

	"cactuswell/standin/worker"
)

// stream is what a caller has of a stream, over all of its requests.
type stream struct {
	// begunBy is the ID of the request that brought the first event.
	begunBy string
	// lastID is the ID of the last event, or -1.
	lastID int
	// version is the software version of the endpoints that made the events.
	version string
	// fault is the first fault of the events, or empty.
	fault string
	// mayBeMixed is set if a response that is broken off may have events of another answer. The caller takes them for its own.
	mayBeMixed bool
	// kind is that of the current request, and doubt the one about its answer, or nil.
	kind  operationKind
	doubt *doubt
}

// read takes the body of a response to a request with the mark of an endpoint, which is complete if isWhole is set.
func (s *stream) read(body, mark, request string, isWhole bool) {
	for {
		event, rest, ok := strings.Cut(body, "\n\n")
		if !ok {
			break
		}
		body = rest
		if s.mayBeMixed && !isWhole {
			s.takeAny(event, request)
		} else {
			s.add(event, request)
		}
		s.compare(event+"\n\n", mark, request, isWhole)
	}
	if isWhole && body != "" && s.doubt == nil {
		s.doubt = &doubt{detail: fmt.Sprintf("the stream ends with %q", body)}
	}
	if isWhole && s.lastID != streamEvents-1 {
		s.fail(fmt.Sprintf("the stream ends as complete after event %d", s.lastID))
	}
}

// add takes an event.
func (s *stream) add(event, request string) {
	var id int
	var version string
	if _, err := fmt.Sscanf(event, "id: %d\ndata: %s", &id, &version); err != nil {
		s.fail(fmt.Sprintf("%q is no event", event))
		return
	}
	if id != s.lastID+1 {
		s.fail(fmt.Sprintf("event %d follows event %d", id, s.lastID))
	}
	if s.lastID >= 0 && version != s.version {
		s.fail(fmt.Sprintf("event %d is of version %s, those before are of %s", id, version, s.version))
	}
	if s.lastID < 0 {
		s.begunBy = request
	}
	s.lastID = id
	s.version = version
}

// takeAny takes an event of a response that is broken off, if it is one.
func (s *stream) takeAny(event, request string) {
	var id int
	var version string
	if _, err := fmt.Sscanf(strings.TrimLeft(event, "\n"), "id: %d\ndata: %s", &id, &version); err == nil && id == s.lastID+1 {
		s.add(strings.TrimLeft(event, "\n"), request)
	}
}

// compare compares an event with the one that an endpoint sends: the endpoint in the mark, or any if several may
// make the events.
func (s *stream) compare(event, mark, request string, isWhole bool) {
	var id int
	var version, endpoint string
	_, _ = fmt.Sscanf(event, "id: %d\ndata: %s %s", &id, &version, &endpoint)
	if event == worker.Event(id, version, endpoint, request) && (endpoint == mark || endpoint == worker.AnyEndpoint || s.kind.isResumable) || s.doubt != nil {
		return
	}
	s.doubt = &doubt{
		detail:     fmt.Sprintf("the answer of %s has the event %q", mark, event),
		isBrokenUp: !isWhole,
	}
}

func (s *stream) fail(fault string) {
	if s.fault == "" {
		s.fault = fault
	}
}
