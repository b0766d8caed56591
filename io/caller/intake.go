package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	"cactuswell/core/profile"
)

// intake reads the parts that chats and calls have in common. On a fault it
// returns the problem to answer with.
func (s *Server) intake(w http.ResponseWriter, r *http.Request) (Submission, *Problem) {
	submission := Submission{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	if submission.RequestID == "" {
		submission.RequestID = s.backend.NewRequestID()
	}
	if !validHeader(submission.RequestID) {
		problem := fault(http.StatusBadRequest, CodeBadHeader, HeaderRequestID+" is not 1 to 128 visible ASCII characters")
		return submission, &problem
	}
	w.Header().Set(HeaderRequestID, submission.RequestID)
	if submission.IdempotencyKey != "" && !validHeader(submission.IdempotencyKey) {
		problem := fault(http.StatusBadRequest, CodeBadHeader, HeaderIdempotencyKey+" is not 1 to 128 visible ASCII characters")
		return submission, &problem
	}
	team, problem := teamOf(r)
	if problem != nil {
		return submission, problem
	}
	submission.Team = team
	if accepting, reason := s.backend.Accepting(); !accepting {
		refused := fault(http.StatusServiceUnavailable, CodeNotReady, reason)
		refused.Action = actionRetry
		refused.RetryAfterMs = 1000
		return submission, &refused
	}
	submission.Body, problem = s.readBody(w, r)
	return submission, problem
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	if s.limits.BodyTimeout > 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		problem := fault(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is larger than this host takes")
		return nil, &problem
	case err != nil:
		problem := fault(http.StatusRequestTimeout, CodeRequestTooSlow, "the body did not arrive in time or whole")
		return nil, &problem
	}
	return body, nil
}

// profileOf returns the profile under name, which must be of the given kind.
func (s *Server) profileOf(name string, kind profile.Kind) (profile.Profile, *Problem) {
	if name == "" {
		problem := fault(http.StatusBadRequest, CodeMissingProfile, "no profile is named")
		return profile.Profile{}, &problem
	}
	p, ok := s.backend.Profile(name)
	if !ok {
		problem := fault(http.StatusNotFound, CodeUnknownProfile, "no profile has that name")
		return profile.Profile{}, &problem
	}
	if p.Kind() != kind {
		problem := fault(http.StatusBadRequest, CodeWrongKind, "the profile is for another kind of endpoint")
		return profile.Profile{}, &problem
	}
	return p, nil
}

func teamOf(r *http.Request) (string, *Problem) {
	team := r.Header.Get(HeaderTeam)
	if team == "" {
		return defaultTeam, nil
	}
	if !validHeader(team) {
		problem := fault(http.StatusBadRequest, CodeBadHeader, HeaderTeam+" is not 1 to 128 visible ASCII characters")
		return "", &problem
	}
	return team, nil
}

func validHeader(value string) bool {
	if value == "" || len(value) > maxHeaderValue {
		return false
	}
	for i := range len(value) {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}
