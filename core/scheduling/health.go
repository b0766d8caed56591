package scheduling

import "time"

const (
	// initialEjection is the duration of the first ejection. It doubles with each
	// further one up to maxEjection, which is shorter than the time in which a
	// crashed endpoint usually recovers.
	initialEjection = 400 * time.Millisecond
	maxEjection     = 4 * time.Second
	// breaksToEject is the number of consecutive broken connections, malformed
	// answers or silent attempts after which an endpoint is ejected. A single one
	// may be caused by the network.
	breaksToEject = 2
	// errorWeight is the weight of a new answer in the smoothed error rate.
	errorWeight = 0.15
	// maxEjectedShare bounds the share of a service's endpoints that may be ejected
	// for reasons other than being unreachable or misdirected.
	maxEjectedShare = 0.5
)

// health is the state of an endpoint's health as observed by this host.
type health struct {
	ejectedUntil time.Time
	ejectionTime time.Duration
	// probing reports whether a call is in flight that tests if the endpoint has
	// recovered.
	probing           bool
	consecutiveBreaks int
	// errorRate is the smoothed share of error responses.
	errorRate float64
}

// isEjected reports whether the endpoint receives no calls now.
func (h *health) isEjected(now time.Time) bool {
	if h.ejectionTime == 0 {
		return false
	}
	return h.probing || now.Before(h.ejectedUntil)
}

// recordSuccess records a successful answer and reports whether it ends an
// ejection.
func (h *health) recordSuccess() (recovered bool) {
	recovered = h.ejectionTime > 0
	h.ejectionTime = 0
	h.probing = false
	h.consecutiveBreaks = 0
	h.errorRate -= errorWeight * h.errorRate
	return recovered
}

// eject ejects the endpoint for a duration that doubles with each ejection.
func (h *health) eject(now time.Time) time.Duration {
	h.probing = false
	h.consecutiveBreaks = 0
	h.ejectionTime = min(max(2*h.ejectionTime, initialEjection), maxEjection)
	h.ejectedUntil = now.Add(h.ejectionTime)
	return h.ejectionTime
}

// recordFailedAnswer records an error response. It ends an ejection, because the
// endpoint has answered.
func (h *health) recordFailedAnswer() {
	h.consecutiveBreaks = 0
	h.probing = false
	h.ejectionTime = 0
	h.errorRate += errorWeight * (1 - h.errorRate)
}

// recordExcess records bytes after a complete answer. The endpoint keeps its calls, as
// the answer was complete, but others are preferred.
func (h *health) recordExcess() {
	h.errorRate += errorWeight * (1 - h.errorRate)
}
