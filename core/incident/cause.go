package incident

import (
	"fmt"
	"strings"
)

// reasonTexts explains the values of the fields "reason" and "cause" of refusals.
var reasonTexts = map[string]string{
	"noEndpoint":        "the host knew no endpoint of the service",
	"allFull":           "no endpoint could have begun it in time",
	"overloaded":        "every engine's queue was too long for it, or for more urgent calls behind it",
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

// reasonText returns the explanation of a reason, or the reason itself if it is
// unknown.
func reasonText(reason string) string {
	if text, ok := reasonTexts[reason]; ok {
		return text
	}
	return reason
}

// describeCause describes how a request ended and why, from its lines in
// chronological order.
func describeCause(requestLines []Line) string {
	end := lastLine(requestLines, "callEnded")
	if denied := lastLine(requestLines, "callDenied"); denied != nil {
		return fmt.Sprintf("denied with status %s: %s", denied.Get("status"), reasonText(denied.Get("reason")))
	}
	if lost := lastLine(requestLines, "callLost"); lost != nil {
		return "failed: " + reasonText("hostDutyRestarted")
	}
	refused := lastLine(requestLines, "callRefused")
	if refused == nil {
		return describeEnd(requestLines, end)
	}
	var text strings.Builder
	text.WriteString(describeOutcome(refused))
	text.WriteString(": ")
	text.WriteString(reasonText(refused.Get("reason")))
	if causeReason := refused.Get("cause"); causeReason != "" && causeReason != refused.Get("reason") {
		text.WriteString("; ")
		text.WriteString(reasonText(causeReason))
	}
	text.WriteString(describeFailedAttempts(requestLines))
	return text.String()
}

// describeOutcome describes what the caller received, from the refusal's line.
func describeOutcome(refused *Line) string {
	switch {
	case refused.Get("result") == "cut":
		return "cut in the middle of its answer"
	case refused.Get("mayHaveRun") == "true":
		return "failed, and may have run"
	default:
		return "refused, and has not run"
	}
}

// describeEnd describes the end of a request that was not refused. End is its
// callEnded line, or nil.
func describeEnd(requestLines []Line, end *Line) string {
	if end == nil {
		host := requestLines[len(requestLines)-1].Host
		return fmt.Sprintf("no end is told: %s has not ended it, lost the line (linesDropped) or was killed", host)
	}
	switch result := end.Get("result"); result {
	case "served":
		return fmt.Sprintf("served with status %s after %s ms%s", end.Get("status"), end.Get("totalMs"), describeFailedAttempts(requestLines))
	case "callerLeft":
		return fmt.Sprintf("the caller left after %s ms%s", end.Get("totalMs"), describeFailedAttempts(requestLines))
	default:
		return fmt.Sprintf("%s with status %s%s", result, end.Get("status"), describeFailedAttempts(requestLines))
	}
}

// describeFailedAttempts lists the attempts that ended without a complete
// response.
func describeFailedAttempts(requestLines []Line) string {
	var text strings.Builder
	for i := range requestLines {
		line := &requestLines[i]
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

// lastLine returns the last line with the given event, or nil.
func lastLine(lines []Line, event string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}
