package caller

import (
	"errors"
	"io"
	"net/http"

	"cactuswell/core/profile"
)

// readSubmission reads the headers and the body that chats and service calls have in
// common. For an invalid request it returns the problem to respond with.
func (s *Server) readSubmission(w http.ResponseWriter, r *http.Request) (Submission, *Problem) {
	submission := Submission{
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
	}
	if submission.RequestID == "" {
		submission.RequestID = s.backend.NewRequestID()
	}
	if !validHeader(submission.RequestID) {
		problem := rejection(http.StatusBadRequest, CodeBadHeader, HeaderRequestID+" is not 1 to 128 visible ASCII characters")
		return submission, &problem
	}
	w.Header().Set(HeaderRequestID, submission.RequestID)
	if submission.IdempotencyKey != "" && !validHeader(submission.IdempotencyKey) {
		problem := rejection(http.StatusBadRequest, CodeBadHeader, HeaderIdempotencyKey+" is not 1 to 128 visible ASCII characters")
		return submission, &problem
	}
	team, problem := teamOf(r)
	if problem != nil {
		return submission, problem
	}
	submission.Team = team
	if accepting, reason := s.backend.Accepting(); !accepting {
		notReady := rejection(http.StatusServiceUnavailable, CodeNotReady, reason)
		notReady.Action = actionRetry
		notReady.RetryAfterMs = 1000
		return submission, &notReady
	}
	submission.Body, problem = s.readBody(w, r)
	return submission, problem
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		problem := rejection(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is larger than this host takes")
		return nil, &problem
	case err != nil:
		problem := rejection(http.StatusRequestTimeout, CodeRequestTooSlow, "the body did not arrive in time or whole")
		return nil, &problem
	}
	return body, nil
}

// profileOf returns the profile with the given name, which must be of the given
// kind.
func (s *Server) profileOf(name string, kind profile.Kind) (profile.Profile, *Problem) {
	if name == "" {
		problem := rejection(http.StatusBadRequest, CodeMissingProfile, "no profile is named")
		return profile.Profile{}, &problem
	}
	p, ok := s.backend.Profile(name)
	if !ok {
		problem := rejection(http.StatusNotFound, CodeUnknownProfile, "no profile has that name")
		return profile.Profile{}, &problem
	}
	if p.Kind() != kind {
		problem := rejection(http.StatusBadRequest, CodeWrongKind, "the profile is for another kind of endpoint")
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
		problem := rejection(http.StatusBadRequest, CodeBadHeader, HeaderTeam+" is not 1 to 128 visible ASCII characters")
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
