package claim

// Outcome is the result of a keyed call, which every retry with its key
// receives.
type Outcome struct {
	// Unknown is true if the call was started and its result is not known.
	Unknown bool `json:"unknown,omitempty"`
	// Status is the HTTP status of the answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is true if the answer had a body that was too large to store
	// or that was evicted.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// bounded returns the outcome without its body if that is larger than
// MaxBodyBytes.
func (o Outcome) bounded() Outcome {
	if len(o.Body) > MaxBodyBytes {
		o.Body = nil
		o.BodyOmitted = true
	}
	return o
}
