// Package trail writes the structured log from which a failure can be explained
// later. Each decision on a request and each state change of the host is a line
// with one JSON object.
//
// # Usage
//
//	lines := trail.New(os.Stdout, "host-1", timers)
//	tree.Add(supervisor.Duty{Name: "trail", Run: lines.Run})
//	lines.Event("callSent").Text("request", id).Millis("first", delay).End()
//
// Lines are appended to a bounded buffer that one goroutine writes out, so a slow
// or stopped reader never blocks a duty. When the buffer fills, ordinary lines are
// dropped first, then notices, and failures last. Dropped lines are counted, and
// the counts are logged as soon as there is room. Lines about a state that may
// change often end with Merge instead of End, which writes only the first and the
// last line of a second.
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
	// maxBufferBytes bounds the buffered lines.
	maxBufferBytes = 512 << 10
	// flushInterval is the time between writes, so that many lines share a write.
	flushInterval = 100 * time.Millisecond
)

// Importance determines which lines are dropped first when the buffer fills.
type Importance int

// Levels of importance, in the order in which their lines are dropped.
const (
	// Ordinary lines report requests that succeed.
	Ordinary Importance = iota
	// Notice lines report state changes of the host.
	Notice
	// Failure lines report failed requests and dependencies.
	Failure
	// importanceCount is the number of levels. As the importance of a line it marks a
	// line that is discarded.
	importanceCount
)

// fillLimits is the buffer length in bytes up to which lines of each importance are
// accepted.
var fillLimits = [importanceCount]int{maxBufferBytes / 2, maxBufferBytes * 3 / 4, maxBufferBytes}

// Trail is the structured log of one process. It is safe for concurrent use.
type Trail struct {
	host   string
	out    io.Writer
	timers *timer.Service

	mu              sync.Mutex
	buffer          []byte
	spare           []byte
	dropped         [importanceCount]uint64
	reportedDropped [importanceCount]uint64
	lines           uint64
	merges          map[mergeKey]*mergeState
	pool            sync.Pool
}

// New returns a trail that writes to out while Run runs.
func New(out io.Writer, host string, timers *timer.Service) *Trail {
	t := &Trail{
		host:   host,
		out:    out,
		timers: timers,
		merges: make(map[mergeKey]*mergeState),
	}
	t.pool.New = func() any { return &Line{trail: t} }
	return t
}

// Line builds one line. It is not safe for concurrent use.
type Line struct {
	trail      *Trail
	importance Importance
	event      string
	bytes      []byte
}

// Event starts an ordinary line.
func (t *Trail) Event(name string) *Line { return t.startLine(name, Ordinary, "info") }

// Notice starts a line about a state change of the host.
func (t *Trail) Notice(name string) *Line { return t.startLine(name, Notice, "info") }

// Failure starts a line about a failure.
func (t *Trail) Failure(name string) *Line { return t.startLine(name, Failure, "warn") }

func (t *Trail) startLine(name string, importance Importance, level string) *Line {
	l := t.pool.Get().(*Line)
	l.importance = importance
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

func (l *Line) appendKey(name string) {
	l.bytes = append(l.bytes, ',', '"')
	l.bytes = append(l.bytes, name...)
	l.bytes = append(l.bytes, '"', ':')
}

// Text adds a string field.
func (l *Line) Text(name, value string) *Line {
	l.appendKey(name)
	l.bytes = appendQuoted(l.bytes, value)
	return l
}

// Int adds an integer field.
func (l *Line) Int(name string, value int64) *Line {
	l.appendKey(name)
	l.bytes = strconv.AppendInt(l.bytes, value, 10)
	return l
}

// Float adds a number field with three decimal places.
func (l *Line) Float(name string, value float64) *Line {
	l.appendKey(name)
	l.bytes = strconv.AppendFloat(l.bytes, value, 'f', 3, 64)
	return l
}

// Bool adds a boolean field.
func (l *Line) Bool(name string, value bool) *Line {
	l.appendKey(name)
	l.bytes = strconv.AppendBool(l.bytes, value)
	return l
}

// Millis adds a duration in milliseconds. The suffix "Ms" is appended to the name.
func (l *Line) Millis(name string, value time.Duration) *Line {
	l.bytes = append(l.bytes, ',', '"')
	l.bytes = append(l.bytes, name...)
	l.bytes = append(l.bytes, `Ms":`...)
	l.bytes = strconv.AppendFloat(l.bytes, float64(value)/float64(time.Millisecond), 'f', 1, 64)
	return l
}

// Err adds the field "error" unless err is nil.
func (l *Line) Err(err error) *Line {
	if err == nil {
		return l
	}
	return l.Text("error", err.Error())
}

// End adds the line to the buffer, or drops it if there is no room.
func (l *Line) End() {
	l.bytes = append(l.bytes, '}', '\n')
	t := l.trail
	if l.importance == importanceCount {
		t.pool.Put(l)
		return
	}
	t.mu.Lock()
	if len(t.buffer)+len(l.bytes) > fillLimits[l.importance] {
		t.dropped[l.importance]++
	} else {
		t.buffer = append(t.buffer, l.bytes...)
		t.lines++
	}
	t.mu.Unlock()
	t.pool.Put(l)
}

// IsOverloaded reports whether ordinary lines are about to be dropped. The lines
// of new requests should then be omitted altogether rather than dropped one by one.
func (t *Trail) IsOverloaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.buffer) > fillLimits[Ordinary]/2
}

// DroppedCount returns the total number of dropped lines.
func (t *Trail) DroppedCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := uint64(0)
	for _, dropped := range t.dropped {
		total += dropped
	}
	return total
}

// LineCount returns the total number of lines accepted into the buffer.
func (t *Trail) LineCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lines
}

// Run writes buffered lines until ctx ends, and then the remaining ones.
func (t *Trail) Run(ctx context.Context) error {
	tick := t.timers.Every(flushInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			t.endPendingMerges(true)
			t.flush()
			return nil
		case <-tick.C():
			t.endPendingMerges(false)
			t.flush()
		}
	}
}

// flush writes the buffered lines. Lines whose write fails are dropped: nothing reads
// the output any more, and there is nowhere else to report it.
func (t *Trail) flush() {
	t.logDropped()
	t.mu.Lock()
	pending := t.buffer
	t.buffer = t.spare[:0]
	t.mu.Unlock()
	if len(pending) > 0 {
		_, _ = t.out.Write(pending)
	}
	t.spare = pending
}

func (t *Trail) logDropped() {
	t.mu.Lock()
	dropped := t.dropped
	changed := dropped != t.reportedDropped
	t.reportedDropped = dropped
	t.mu.Unlock()
	if !changed {
		return
	}
	t.Failure("linesDropped").Int("ordinary", int64(dropped[Ordinary])).
		Int("notices", int64(dropped[Notice])).Int("failures", int64(dropped[Failure])).End()
}

const hexDigits = "0123456789abcdef"

// appendQuoted appends a JSON string. Bytes that are not printable ASCII are
// escaped individually.
func appendQuoted(buffer []byte, value string) []byte {
	buffer = append(buffer, '"')
	for i := range len(value) {
		c := value[i]
		switch {
		case c == '"' || c == '\\':
			buffer = append(buffer, '\\', c)
		case c < ' ' || c > '~':
			buffer = append(buffer, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		default:
			buffer = append(buffer, c)
		}
	}
	return append(buffer, '"')
}

// DiscardedLine returns a line that is discarded when it ends.
func (t *Trail) DiscardedLine() *Line {
	l := t.pool.Get().(*Line)
	l.importance = importanceCount
	l.bytes = l.bytes[:0]
	return l
}
