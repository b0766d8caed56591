// Package trail writes the structured lines from which a failure is explained
// afterwards: one JSON object a line, for each decision on a request and for
// each change of what the host believes.
//
// # Usage
//
//	lines := trail.New(os.Stdout, "host-1", timers)
//	tree.Add(supervisor.Duty{Name: "trail", Run: lines.Run})
//	lines.Event("callSent").Text("request", id).Millis("first", delay).End()
//
// A line goes to a bounded buffer, and one writer empties it, so that a reader
// that is slow or gone never blocks a duty. When the buffer fills, ordinary lines
// are dropped first, then notices, and failures last; the number of lines dropped
// is counted, and told as soon as there is room. Lines on a belief that may change
// often end with Merge instead of End, which leaves out all but the first and the
// last of a second.
package trail

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"cactuswell/timer"
)

const (
	// bufferBytes bounds the lines that wait for the writer.
	bufferBytes = 512 << 10
	// flushEvery is how long lines wait, so that many go out in one write.
	flushEvery = 100 * time.Millisecond
)

// Importance says how long a line is kept when the buffer fills.
type Importance int

// The weights, and the part of the buffer that lines of each may fill.
const (
	// Ordinary lines tell of requests that go well.
	Ordinary Importance = iota
	// Notice lines tell what the host believes.
	Notice
	// Failure lines tell of requests and dependencies that fail.
	Failure
	weights
)

var fillLimit = [weights]int{bufferBytes / 2, bufferBytes * 3 / 4, bufferBytes}

// Trail is the log of one process. It is safe for concurrent use.
type Trail struct {
	host   string
	out    io.Writer
	timers *timer.Service

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped [weights]uint64
	told    [weights]uint64
	lines   uint64
	repeats map[occasion]*repeated
	pool    sync.Pool
}

// New returns a trail that writes to out once Run is called.
func New(out io.Writer, host string, timers *timer.Service) *Trail {
	t := &Trail{
		host:    host,
		out:     out,
		timers:  timers,
		repeats: make(map[occasion]*repeated),
	}
	t.pool.New = func() any { return &Line{trail: t} }
	return t
}

// Line is a line under construction. It is not safe for concurrent use.
type Line struct {
	trail      *Trail
	importance Importance
	event      string
	bytes      []byte
}

// Event begins an ordinary line.
func (t *Trail) Event(name string) *Line { return t.begin(name, Ordinary, "info") }

// Notice begins a line on what the host believes.
func (t *Trail) Notice(name string) *Line { return t.begin(name, Notice, "info") }

// Failure begins a line on something that failed.
func (t *Trail) Failure(name string) *Line { return t.begin(name, Failure, "warn") }

func (t *Trail) begin(name string, weight Importance, level string) *Line {
	l := t.pool.Get().(*Line)
	l.importance = weight
	l.event = name
	l.bytes = append(l.bytes[:0], `{"time":"`...)
	l.bytes = time.Now().UTC().AppendFormat(l.bytes, "2006-01-02T15:04:05.000Z")
	l.bytes = append(l.bytes, `","level":"`...)
	l.bytes = append(l.bytes, level...)
	l.bytes = append(l.bytes, `","event":"`...)
	l.bytes = append(l.bytes, name...)
	l.bytes = append(l.bytes, '"')
	return l.Text("host", t.host)
}

func (l *Line) key(name string) {
	l.bytes = append(l.bytes, ',', '"')
	l.bytes = append(l.bytes, name...)
	l.bytes = append(l.bytes, '"', ':')
}

// Text adds a string.
func (l *Line) Text(name, value string) *Line {
	l.key(name)
	l.bytes = appendQuoted(l.bytes, value)
	return l
}

// Int adds a whole number.
func (l *Line) Int(name string, value int64) *Line {
	l.key(name)
	l.bytes = strconv.AppendInt(l.bytes, value, 10)
	return l
}

// Float adds a number with three digits after the point.
func (l *Line) Float(name string, value float64) *Line {
	l.key(name)
	l.bytes = strconv.AppendFloat(l.bytes, value, 'f', 3, 64)
	return l
}

// Bool adds a truth value.
func (l *Line) Bool(name string, value bool) *Line {
	l.key(name)
	l.bytes = strconv.AppendBool(l.bytes, value)
	return l
}

// Millis adds a duration in milliseconds, under the name and "Ms".
func (l *Line) Millis(name string, value time.Duration) *Line {
	l.bytes = append(l.bytes, ',', '"')
	l.bytes = append(l.bytes, name...)
	l.bytes = append(l.bytes, `Ms":`...)
	l.bytes = strconv.AppendFloat(l.bytes, float64(value)/float64(time.Millisecond), 'f', 1, 64)
	return l
}

// Err adds an error's text, or nothing for nil.
func (l *Line) Err(err error) *Line {
	if err == nil {
		return l
	}
	return l.Text("error", err.Error())
}

// End hands the line to the writer, or drops it if there is no room.
func (l *Line) End() {
	l.bytes = append(l.bytes, '}', '\n')
	t := l.trail
	if l.importance == weights {
		t.pool.Put(l)
		return
	}
	t.mu.Lock()
	if len(t.buffer)+len(l.bytes) > fillLimit[l.importance] {
		t.dropped[l.importance]++
	} else {
		t.buffer = append(t.buffer, l.bytes...)
		t.lines++
	}
	t.mu.Unlock()
	t.pool.Put(l)
}

// IsUnderPressure reports whether ordinary lines are about to be dropped, so that whole
// requests should be left out.
func (t *Trail) IsUnderPressure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.buffer) > fillLimit[Ordinary]/2
}

// DroppedCount returns the number of lines dropped.
func (t *Trail) DroppedCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := uint64(0)
	for _, dropped := range t.dropped {
		total += dropped
	}
	return total
}

// LineCount returns the number of lines taken.
func (t *Trail) LineCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines
}

// Run writes the lines until ctx ends, and then what is left.
func (t *Trail) Run(ctx context.Context) error {
	tick := t.timers.Every(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			t.endMerged(true)
			t.flush()
			return nil
		case <-tick.C():
			t.endMerged(false)
			t.flush()
		}
	}
}

// flush writes what waits. A write that fails loses its lines: the reader is
// gone, and there is nowhere else to tell it.
func (t *Trail) flush() {
	t.tellDropped()
	t.mu.Lock()
	waiting := t.buffer
	t.buffer = t.spare[:0]
	t.mu.Unlock()
	if len(waiting) > 0 {
		_, _ = t.out.Write(waiting)
	}
	t.spare = waiting
}

func (t *Trail) tellDropped() {
	t.mu.Lock()
	dropped := t.dropped
	news := dropped != t.told
	t.told = dropped
	t.mu.Unlock()
	if !news {
		return
	}
	t.Failure("linesDropped").Int("ordinary", int64(dropped[Ordinary])).
		Int("notices", int64(dropped[Notice])).Int("failures", int64(dropped[Failure])).End()
}

const hexDigits = "0123456789abcdef"

// appendQuoted appends a JSON string. Bytes that are no printable ASCII are
// escaped one by one.
func appendQuoted(to []byte, value string) []byte {
	to = append(to, '"')
	for i := range len(value) {
		c := value[i]
		switch {
		case c == '"' || c == '\\':
			to = append(to, '\\', c)
		case c < ' ' || c > '~':
			to = append(to, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			to = append(to, c)
		}
	}
	return append(to, '"')
}

// DiscardedLine returns a line that is not written.
func (t *Trail) DiscardedLine() *Line {
	l := t.pool.Get().(*Line)
	l.importance = weights
	l.bytes = l.bytes[:0]
	return l
}
