package incident

import (
	"fmt"
	"strings"
)

// reasons says what a reason of a refusal, or the cause beside it, means.
var reasons = map[string]string{
	"noEndpoint":        "the host knew no endpoint of the service",
	"allFull":           "no endpoint could have begun it in time",
	"timedOut":          "its time was over before an answer came",
	"outcomeUnknown":    "an endpoint may have run it, so that it could not be sent again",
	"retryBudgetSpent":  "the fleet's retry budget left no room for another attempt",
	"attemptsSpent":     "the route allows no further attempt",
	"unreachable":       "no connection to an endpoint could be made",
	"declined":          "the endpoints said that they were full",
	"misdirected":       "another endpoint had taken the address",
	"errors":            "the endpoints answered that the call failed",
	"silent":            "the endpoints sent nothing",
	"spoiledAnswers":    "the endpoints sent bytes that are not an answer to it",
	"brokenConnections": "the endpoints closed their connections before the end",
	"hostFull":          "the host had no memory left for another call",
	"noConfiguration":   "the host had no configuration yet",
	"hostStopping":      "the host was stopping",
	"hostDutyRestarted": "a fault of the program restarted the part of the host that decides",
	"noRoute":           "no route of the configuration has that host name and path",
	"unknownKey":        "no team of the configuration has that key",
	"malformed":         "the request could not be read",
	"bodyTooLarge":      "the body is over the configured limit",
	"headerTooLarge":    "the header is over the configured limit",
}

// explain returns what a reason means, or the reason itself.
func explain(reason string) string {
	if known, ok := reasons[reason]; ok {
		return known
	}
	return reason
}

// cause says how a request ended, from its lines in order of time.
func cause(calls []Line) string {
	end := last(calls, "callEnded")
	if denied := last(calls, "callDenied"); denied != nil {
		return fmt.Sprintf("denied with status %s: %s", denied.Get("status"), explain(denied.Get("reason")))
	}
	if lost := last(calls, "callLost"); lost != nil {
		return "failed: " + explain("hostDutyRestarted")
	}
	refused := last(calls, "callRefused")
	if refused == nil {
		return ended(calls, end)
	}
	var text strings.Builder
	text.WriteString(outcome(refused))
	text.WriteString(": ")
	text.WriteString(explain(refused.Get("reason")))
	if because := refused.Get("cause"); because != "" && because != refused.Get("reason") {
		text.WriteString("; ")
		text.WriteString(explain(because))
	}
	text.WriteString(failures(calls))
	return text.String()
}

// outcome says what the caller got, from the line on the refusal.
func outcome(refused *Line) string {
	switch {
	case refused.Get("result") == "cut":
		return "cut in the middle of its answer"
	case refused.Get("mayHaveRun") == "true":
		return "failed, and may have run"
	default:
		return "refused, and has not run"
	}
}

// ended says how a request ended that was not refused.
func ended(calls []Line, end *Line) string {
	if end == nil {
		host := calls[len(calls)-1].Host
		return fmt.Sprintf("no end is told: %s has not ended it, lost the line (linesDropped) or was killed", host)
	}
	switch result := end.Get("result"); result {
	case "served":
		return fmt.Sprintf("served with status %s after %s ms%s", end.Get("status"), end.Get("totalMs"), failures(calls))
	case "callerLeft":
		return fmt.Sprintf("the caller left after %s ms%s", end.Get("totalMs"), failures(calls))
	default:
		return fmt.Sprintf("%s with status %s%s", result, end.Get("status"), failures(calls))
	}
}

// failures lists the attempts that ended without the whole answer.
func failures(calls []Line) string {
	var text strings.Builder
	for i := range calls {
		line := &calls[i]
		if line.Event != "attemptEnded" {
			continue
		}
		_, _ = fmt.Fprintf(&text, "; attempt %s at %s ended as %s after %s ms", line.Get("attempt"), line.Endpoint, line.Get("outcome"), line.Get("afterMs"))
		if events := line.Get("events"); events != "" && events != "0" {
			_, _ = fmt.Fprintf(&text, " and %s events", events)
		}
	}
	return text.String()
}

// last returns the last line with an event, or nil.
func last(lines []Line, event string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}
