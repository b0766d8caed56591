package claim

// Outcome is how a keyed call ended, as every retry of the key is told.
type Outcome struct {
	// Unknown says that the call was started and its end is not known.
	Unknown bool `json:"unknown,omitempty"`
	// Status is the HTTP status of the answer.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted says that the answer had a body that was too large to keep or
	// is no longer kept.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// bounded returns the outcome without a body that is too large to keep.
func (o Outcome) bounded() Outcome {
	if len(o.Body) > MaxBodyBytes {
		o.Body = nil
		o.BodyOmitted = true
	}
	return o
}
