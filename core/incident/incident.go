// Package incident reconstructs what happened to one request from the log lines
// of all hosts, together with the state of hosts and endpoints around it, and
// names the cause of a failure.
//
// # Usage
//
//	collector := incident.New("9c41d07be2a35f68")
//	for each line of each host {
//		collector.Add(line)
//	}
//	report, err := collector.Report()
//
// Lines may be added in any order and from any number of hosts. Lines that are not
// JSON objects with a time and an event are counted and otherwise ignored. Of the
// others, only the lines of the request, and lines that belong to no request, are
// kept.
package incident

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// contextBefore and contextAfter bound the time around the request within which
	// state changes are part of the report: the causes of a state change are at
	// most a few seconds old, and the removal of a failed endpoint is logged within
	// the few heartbeats that it misses.
	contextBefore = 5 * time.Second
	contextAfter  = 5 * time.Second
)

// Line is one log line of a host.
type Line struct {
	Time     time.Time
	Host     string
	Event    string
	Endpoint string
	// Fields are the other fields in their original order.
	Fields []Field
}

// Field is a field of a line.
type Field struct {
	Name  string
	Value string
}

// Get returns a field's value, or "" if the line has no such field.
func (l *Line) Get(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// NotFoundError reports that no line belongs to the request.
type NotFoundError struct {
	Request string
	// Lines counts all lines, and Unreadable those that could not be parsed.
	Lines           int
	UnreadableLines int
}

// Error names the request and the number of lines searched.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line tells of request %q; %d lines looked at, %d unreadable", e.Request, e.Lines, e.UnreadableLines)
}

// Collector collects the lines of one request and of the state around it.
type Collector struct {
	request         string
	requestLines    []Line
	stateLines      []Line
	lineCount       int
	unreadableCount int
}

// New returns an empty Collector for a request id.
func New(request string) *Collector {
	return &Collector{
		request: request,
	}
}

// Add adds one line of any host. A prefix that a log collector put before the JSON
// object is removed.
func (c *Collector) Add(text []byte) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return
	}
	if start := bytes.IndexByte(text, '{'); start > 0 {
		text = text[start:]
	}
	c.lineCount++
	line, request, ok := parseLine(text)
	switch {
	case !ok:
		c.unreadableCount++
	case request == c.request:
		c.requestLines = append(c.requestLines, line)
	case request == "":
		c.stateLines = append(c.stateLines, line)
	}
}

// parseLine parses a line and returns it with its request id. Fields are read one
// by one, as a map would lose their order.
func parseLine(text []byte) (Line, string, bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if delimiter, err := decoder.Token(); err != nil || delimiter != json.Delim('{') {
		return Line{}, "", false
	}
	var line Line
	request := ""
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return Line{}, "", false
		}
		value, err := decoder.Token()
		if err != nil {
			return Line{}, "", false
		}
		if _, nested := value.(json.Delim); nested {
			return Line{}, "", false
		}
		text := fmt.Sprint(value)
		switch name {
		case "time":
			if line.Time, err = time.Parse(time.RFC3339Nano, text); err != nil {
				return Line{}, "", false
			}
		case "host":
			line.Host = text
		case "event":
			line.Event = text
		case "endpoint":
			line.Endpoint = text
		case "request":
			request = text
		case "level":
		default:
			line.Fields = append(line.Fields, Field{
				Name:  name.(string),
				Value: text,
			})
		}
	}
	return line, request, line.Event != "" && !line.Time.IsZero()
}

// Report describes what happened to a request.
type Report struct {
	Request string
	// Lines are the request's lines and the state changes of its hosts and
	// endpoints, in chronological order.
	Lines []Line
	// Cause describes in words how the request ended and why.
	Cause string
}

// Report returns the report of the lines added so far. The error is a
// *NotFoundError.
func (c *Collector) Report() (Report, error) {
	if len(c.requestLines) == 0 {
		return Report{}, &NotFoundError{
			Request:         c.request,
			Lines:           c.lineCount,
			UnreadableLines: c.unreadableCount,
		}
	}
	requestLines := slices.Clone(c.requestLines)
	slices.SortStableFunc(requestLines, byTime)
	lines := append(slices.Clone(requestLines), c.contextLines(requestLines)...)
	slices.SortStableFunc(lines, byTime)
	return Report{
		Request: c.request,
		Lines:   lines,
		Cause:   describeCause(requestLines),
	}, nil
}

func byTime(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// contextLines returns the state changes that may concern the request: those of
// its endpoints as seen by any host, and those of its own hosts that name no
// endpoint.
func (c *Collector) contextLines(requestLines []Line) []Line {
	hosts, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range requestLines {
		hosts[line.Host] = true
		if line.Endpoint != "" {
			endpoints[line.Endpoint] = true
		}
	}
	from := requestLines[0].Time.Add(-contextBefore)
	until := requestLines[len(requestLines)-1].Time.Add(contextAfter)
	var context []Line
	for _, line := range c.stateLines {
		if line.Time.Before(from) || line.Time.After(until) {
			continue
		}
		if endpoints[line.Endpoint] || line.Endpoint == "" && hosts[line.Host] {
			context = append(context, line)
		}
	}
	return context
}

// String returns the report as text: one line per log line, with the time since
// the first, and the cause.
func (r *Report) String() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "request %s\n", r.Request)
	startedAt := r.Lines[0].Time
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(&text, "%9.3f s  %-14s %-20s", line.Time.Sub(startedAt).Seconds(), line.Host, line.Event)
		if line.Endpoint != "" {
			_, _ = fmt.Fprintf(&text, " endpoint=%s", line.Endpoint)
		}
		for _, field := range line.Fields {
			_, _ = fmt.Fprintf(&text, " %s=%s", field.Name, quoteIfNeeded(field.Value))
		}
		text.WriteByte('\n')
	}
	_, _ = fmt.Fprintf(&text, "cause: %s\n", r.Cause)
	return text.String()
}

// quoteIfNeeded quotes a value that is empty or contains white space or quotes.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\"") {
		return strconv.Quote(value)
	}
	return value
}
