package gateway

import (
	"fmt"

	"github.com/go-kit/log"

	"cactuswell/trail"
)

// dutyLog writes the messages of the supervisor, which report failed duties, to the
// trail.
type dutyLog struct {
	trail *trail.Trail
}

var _ log.Logger = dutyLog{}

// Log implements log.Logger.
func (l dutyLog) Log(keyvals ...any) error {
	event := "dutyMessage"
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == "event" {
			event = fmt.Sprint(keyvals[i+1])
		}
	}
	line := l.trail.Failure(event)
	for i := 0; i+1 < len(keyvals); i += 2 {
		name := fmt.Sprint(keyvals[i])
		if name != "event" && name != "level" {
			line = line.Text(name, fmt.Sprint(keyvals[i+1]))
		}
	}
	line.End()
	return nil
}
