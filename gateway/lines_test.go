package gateway_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	standin "cactuswell/standin/opaque"
)

// TestLineShapes compares the fields of each kind of log line with the golden file,
// which lists those that docs/OPERATIONS.md describes.
func TestLineShapes(t *testing.T) {
	f := newFixture(t, 2)
	f.awaitLine(`"event":"baseVersionSet"`, `"service":"`+models+`"`)
	f.setBehaviour(firstThen(standin.ErrorStatus{Status: 500}))
	f.get("/lookup/x")
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.ClosedConnection{} })
	f.post("/hold/x", "x")
	f.post("/hold/y", "x")
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.TruncatedAnswer{Bytes: 60} })
	f.post("/draft/stream", "x")
	f.get("/other/x")
	f.publishEndpoint("booking-0", service, f.endpoints[0].Address(), true)
	f.log.Append(endpointTopic, "booking-0", nil)
	f.log.Append(endpointTopic, "booking-9", []byte("broken"))
	f.log.Append(configurationTopic, configurationKey, []byte("broken"))
	eventually(t, "the unreadable entry is logged", func() bool {
		return strings.Contains(f.logLines.String(), "entryUnreadable")
	})
	f.log.SetDown(true)
	eventually(t, "the outage is logged", func() bool { return strings.Contains(f.logLines.String(), "storeLost") })
	f.log.SetDown(false)
	eventually(t, "the recovery is logged", func() bool { return strings.Contains(f.logLines.String(), "storeBack") })
	f.stopAndWait()

	if strings.Contains(f.logLines.String(), "dutyRestarted") {
		t.Errorf("a duty failed:\n%s", f.logLines)
	}
	shapes := make(map[string]string)
	for _, line := range strings.Split(strings.TrimSpace(f.logLines.String()), "\n") {
		event, fields := shapeOf(t, line)
		longest, ok := shapes[event]
		if ok && len(longest) > len(fields) {
			continue
		}
		shapes[event] = fields
	}
	var text bytes.Buffer
	events := make([]string, 0, len(shapes))
	for event := range shapes {
		events = append(events, event)
	}
	slices.Sort(events)
	for _, event := range events {
		fmt.Fprintf(&text, "%s: %s\n", event, shapes[event])
	}
	goldie.New(t).Assert(t, "lines", text.Bytes())
}

// shapeOf returns a line's event and the names of its other fields in order.
func shapeOf(t *testing.T, line string) (event, fields string) {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(line))
	var names []string
	for depth := 0; ; {
		token, err := decoder.Token()
		if err != nil {
			break
		}
		if delim, ok := token.(json.Delim); ok {
			depth += map[json.Delim]int{'{': 1, '}': -1}[delim]
			continue
		}
		name := token.(string)
		value, err := decoder.Token()
		if err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		switch name {
		case "event":
			event = value.(string)
		case "time":
			if _, err := time.Parse(time.RFC3339Nano, value.(string)); err != nil {
				t.Error(err)
			}
		case "level", "host":
		default:
			names = append(names, name)
		}
	}
	return event, strings.Join(names, " ")
}
