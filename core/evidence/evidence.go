// Package evidence keeps account of the attempts of a call, and decides what proves that the call has not
// run. A call that must run at most once may be sent again, or refused with a status that promises that it
// has not run, only if that is proven for each of its attempts.
//
// An attempt is taken to have run unless it is proven that it has not. There are two proofs:
//
//   - Nothing of the request was written.
//   - The endpoint has refused the request, and the refusal can be meant for no other attempt: it names
//     the call, and the endpoint has received the call's ID only once from this host. IDs tell calls
//     apart, but not the attempts of a call, and a faulty endpoint may write a refusal more than once,
//     at any later moment and to any of its connections.
//
// It follows that a call that must run at most once is sent to an endpoint only once: the refusal of a
// second attempt there would prove nothing. Two places count as one endpoint if they have the address or
// the endpoint's ID in common.
//
// # Usage
//
//	account := evidence.New(mayRepeat)
//	attempt := account.Begin(place)
//	if attempt == nil {
//		// the call must not be sent there
//	}
//	n, err := attempt.Send(func() (int, error) { return conn.Write(request) })
//	if !attempt.Refused(refusal) {
//		// the refusal proves nothing
//	}
//	if proof := account.NotRun(); proof != nil {
//		... answer with a status that promises that the call has not run ...
//	}
//
// An Account and its attempts are not safe for concurrent use.
package evidence

import "slices"

// NotRun proves that a call has not run and never will. Only an Account makes one, for the call whose
// attempts it holds.
type NotRun interface{ isNotRun() }

// allRefused is the proof of a call of which each attempt was not sent or was refused.
type allRefused struct{}

func (allRefused) isNotRun() {}

// Place is where an attempt of a call is sent.
type Place struct {
	Address    string
	EndpointID string
}

// MayBe reports whether two places may be one process.
func (p Place) MayBe(other Place) bool {
	return p.Address == other.Address || p.EndpointID == other.EndpointID
}

// Refusal describes a response which says that the endpoint has not run the request.
type Refusal struct {
	// NamesCall is set if the response names the call and no other.
	NamesCall bool
	// IsContradictory is set if a part of the response says that the request was run.
	IsContradictory bool
	// IsIDShared is set if the place has received the call's ID with another call.
	IsIDShared bool
}

// state is what is known of an attempt.
type state int

const (
	// notSent means that nothing of the request was written.
	notSent state = iota
	// mayHaveRun means that some of it may have been written.
	mayHaveRun
	// refused means that the endpoint has proven that it did not run the request.
	refused
)

// Account holds the attempts of one call.
type Account struct {
	mayRepeat bool
	attempts  []*Attempt
}

// New returns the account of a call that has not been sent. If mayRepeat is set, the call may run more
// than once, and an endpoint that says it has not run it is believed.
func New(mayRepeat bool) *Account {
	return &Account{mayRepeat: mayRepeat}
}

// Begin begins an attempt at a place. It returns nil if the call must not be sent there, as an earlier
// attempt may have run it or has reached the same endpoint.
func (a *Account) Begin(place Place) *Attempt {
	if !a.permits(place) {
		return nil
	}
	attempt := &Attempt{
		account: a,
		place:   place,
	}
	a.attempts = append(a.attempts, attempt)
	return attempt
}

// permits reports whether the call may be sent to a place.
func (a *Account) permits(place Place) bool {
	return a.mayRepeat || a.NotRun() != nil && a.SendsTo(place) == 0
}

// SendsTo returns how often the call was sent to what may be the endpoint at a place.
func (a *Account) SendsTo(place Place) int {
	sends := 0
	for _, t := range a.attempts {
		if t.state != notSent && t.place.MayBe(place) {
			sends++
		}
	}
	return sends
}

// NotRun returns the proof that the call has not run, or nil if there is none.
func (a *Account) NotRun() NotRun {
	if slices.ContainsFunc(a.attempts, func(t *Attempt) bool { return t.state == mayHaveRun }) {
		return nil
	}
	return allRefused{}
}

// UnpermittedError reports a request that must not be sent, as its attempt does not permit it.
type UnpermittedError struct{}

// Error returns a message.
func (*UnpermittedError) Error() string { return "the request must not be sent again" }

// Attempt is one attempt of a call. It permits that the request is written once.
type Attempt struct {
	account *Account
	place   Place
	state   state
	isUsed  bool
}

// Send writes the beginning of the request with the given function, which returns how many bytes it has
// written. If it fails without a byte, nothing was sent. The error is an *UnpermittedError if the
// attempt is nil or has been used, or the call may not be sent to the place any more.
func (t *Attempt) Send(write func() (int, error)) (int, error) {
	if t == nil || t.isUsed || !t.account.permits(t.place) {
		return 0, &UnpermittedError{}
	}
	t.isUsed = true
	t.state = mayHaveRun
	n, err := write()
	if n == 0 && err != nil {
		t.state = notSent
	}
	return n, err
}

// Refused records that the endpoint says that it has not run the request and never will. It reports
// whether that is proven.
func (t *Attempt) Refused(refusal Refusal) bool {
	isProven := refusal.NamesCall && !refusal.IsContradictory && !refusal.IsIDShared && t.account.SendsTo(t.place) == 1
	if t.state != mayHaveRun || !isProven && !t.account.mayRepeat {
		return false
	}
	t.state = refused
	return true
}
