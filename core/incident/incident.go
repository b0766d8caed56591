// Package incident finds, in the log lines of all hosts, what happened to one
// request and what the hosts believed meanwhile, and names the cause of a failure.
//
// # Usage
//
//	found := incident.New("9c41d07be2a35f68")
//	for each line of each host {
//		found.Add(line)
//	}
//	report, err := found.Report()
//
// Lines may come in any order and from any number of hosts. Lines that are no JSON
// objects with a time and an event are counted and otherwise ignored. Of the others
// only those on the request, and those on no request at all, are kept.
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
	// before and after bound the time around the request within which lines on
	// beliefs are part of the report: what led to a belief is a few seconds old,
	// and an endpoint that failed is told of as gone within the heartbeats that it
	// then misses.
	before = 5 * time.Second
	after  = 5 * time.Second
)

// Line is one line of a host.
type Line struct {
	Time     time.Time
	Host     string
	Event    string
	Endpoint string
	// Fields are the other fields in the order in which they stand.
	Fields []Field
}

// Field is a field of a line, with its value as text.
type Field struct {
	Name  string
	Value string
}

// Get returns a field's value, or nothing.
func (l *Line) Get(name string) string {
	for _, field := range l.Fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// NotFoundError says that no line tells of the request.
type NotFoundError struct {
	Request string
	// Lines counts the lines looked at, and Unreadable those that were none.
	Lines           int
	UnreadableLines int
}

// Error names the request and how much was searched.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line tells of request %q; %d lines looked at, %d unreadable", e.Request, e.Lines, e.UnreadableLines)
}

// Collector collects the lines on one request.
type Collector struct {
	request    string
	calls      []Line
	beliefs    []Line
	lines      int
	unreadable int
}

// New returns an Incident without lines.
func New(request string) *Collector {
	return &Collector{
		request: request,
	}
}

// Add takes one line of any host. What a collector put before the line is left out.
func (i *Collector) Add(text []byte) {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return
	}
	if begin := bytes.IndexByte(text, '{'); begin > 0 {
		text = text[begin:]
	}
	i.lines++
	line, request, ok := parse(text)
	switch {
	case !ok:
		i.unreadable++
	case request == i.request:
		i.calls = append(i.calls, line)
	case request == "":
		i.beliefs = append(i.beliefs, line)
	}
}

// parse reads a line and the id of its request. Fields are read one by one, as a
// map would lose their order.
func parse(text []byte) (Line, string, bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if begin, err := decoder.Token(); err != nil || begin != json.Delim('{') {
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

// Report is what happened to a request.
type Report struct {
	Request string
	// Lines are those on the request, and those on its hosts and endpoints around
	// it, in order of time.
	Lines []Line
	// Cause says in words how the request ended and why.
	Cause string
}

// Report returns what was found. The error is a *NotFoundError.
func (i *Collector) Report() (Report, error) {
	if len(i.calls) == 0 {
		return Report{}, &NotFoundError{
			Request:         i.request,
			Lines:           i.lines,
			UnreadableLines: i.unreadable,
		}
	}
	calls := slices.Clone(i.calls)
	slices.SortStableFunc(calls, byTime)
	lines := append(slices.Clone(calls), i.around(calls)...)
	slices.SortStableFunc(lines, byTime)
	return Report{
		Request: i.request,
		Lines:   lines,
		Cause:   cause(calls),
	}, nil
}

func byTime(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }

// around returns the lines on beliefs that touch the request: those of any host on
// an endpoint that it was sent to, and those of its own hosts on no endpoint.
func (i *Collector) around(calls []Line) []Line {
	hosts, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range calls {
		hosts[line.Host] = true
		if line.Endpoint != "" {
			endpoints[line.Endpoint] = true
		}
	}
	from := calls[0].Time.Add(-before)
	till := calls[len(calls)-1].Time.Add(after)
	var around []Line
	for _, line := range i.beliefs {
		if line.Time.Before(from) || line.Time.After(till) {
			continue
		}
		if endpoints[line.Endpoint] || line.Endpoint == "" && hosts[line.Host] {
			around = append(around, line)
		}
	}
	return around
}

// String returns the report as text: a line for each line, with the time since the
// first, and the cause.
func (r *Report) String() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "request %s\n", r.Request)
	began := r.Lines[0].Time
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(&text, "%9.3f s  %-14s %-20s", line.Time.Sub(began).Seconds(), line.Host, line.Event)
		if line.Endpoint != "" {
			_, _ = fmt.Fprintf(&text, " endpoint=%s", line.Endpoint)
		}
		for _, field := range line.Fields {
			_, _ = fmt.Fprintf(&text, " %s=%s", field.Name, quoted(field.Value))
		}
		text.WriteByte('\n')
	}
	_, _ = fmt.Fprintf(&text, "cause: %s\n", r.Cause)
	return text.String()
}

// quoted returns a value with quotes if it holds a space.
func quoted(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\"") {
		return strconv.Quote(value)
	}
	return value
}
