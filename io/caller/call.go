package caller

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"cactuswell/core/profile"
)

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	submission, problem := s.readSubmission(w, r)
	if problem != nil {
		s.writeProblem(w, submission, *problem)
		return
	}
	if !json.Valid(submission.Body) {
		s.writeProblem(w, submission, rejection(http.StatusBadRequest, CodeMalformed, "the body is not JSON"))
		return
	}
	submission.Profile, problem = s.profileOf(r.Header.Get(HeaderProfile), profile.KindService)
	if problem != nil {
		s.writeProblem(w, submission, *problem)
		return
	}
	submission.Operation = mux.Vars(r)["operation"]
	answer := s.backend.Submit(r.Context(), submission)
	for {
		part, err := answer.Next(r.Context())
		if err != nil {
			abortResponse()
		}
		switch part := part.(type) {
		case BodyPart:
			writeBody(w, part)
			return
		case ProblemPart:
			s.writeProblem(w, submission, part.Problem)
			return
		case TextPart, EndPart:
		}
	}
}

func writeBody(w http.ResponseWriter, part BodyPart) {
	contentType := part.ContentType
	if contentType == "" {
		contentType = "application/json"
	}
	if part.Replayed {
		w.Header().Set(HeaderReplayed, "true")
	}
	writeWhole(w, http.StatusOK, contentType, part.Body)
}
