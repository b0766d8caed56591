package scheduling

import "time"

const (
	// firstEjection is the first time out of use; it doubles with each further
	// one up to longestEjection, which is below the time in which an endpoint
	// that crashed is usually back.
	firstEjection   = 400 * time.Millisecond
	longestEjection = 4 * time.Second
	// breaksToEject is how many lost connections, spoiled answers or silences in
	// a row take an endpoint out of use. One may be the fault of the network.
	breaksToEject = 2
	// errorWeight is the weight of a new answer in the rate of failed answers.
	errorWeight = 0.15
	// maxEjectedShare is the part of a service's endpoints that may be out of
	// use for other reasons than that they cannot be reached.
	maxEjectedShare = 0.5
)

// health is what this host thinks of an endpoint.
type health struct {
	ejectedTill time.Time
	ejectFor    time.Duration
	// trial says that a call is under way to see if the endpoint is well again.
	trial  bool
	breaks int
	// errors is the smoothed share of answers that say that the call failed.
	errors float64
}

// out reports whether the endpoint gets no calls now.
func (h *health) out(now time.Time) bool {
	if h.ejectFor == 0 {
		return false
	}
	return h.trial || now.Before(h.ejectedTill)
}

// succeed notes an answer.
func (h *health) succeed() (recovered bool) {
	recovered = h.ejectFor > 0
	h.ejectFor = 0
	h.trial = false
	h.breaks = 0
	h.errors -= errorWeight * h.errors
	return recovered
}

// eject takes the endpoint out of use for a growing time.
func (h *health) eject(now time.Time) time.Duration {
	h.trial = false
	h.breaks = 0
	h.ejectFor = min(max(2*h.ejectFor, firstEjection), longestEjection)
	h.ejectedTill = now.Add(h.ejectFor)
	return h.ejectFor
}

// fail notes an answer that says that the call failed. The endpoint is alive.
func (h *health) fail() {
	h.breaks = 0
	h.trial = false
	h.ejectFor = 0
	h.errors += errorWeight * (1 - h.errors)
}
