package evidence_test

import (
	"testing"

	"cactuswell/core/evidence"
)

var (
	atA = evidence.Place{
		Address:    "10.0.0.1:80",
		EndpointID: "a",
	}
	atB = evidence.Place{
		Address:    "10.0.0.2:80",
		EndpointID: "b",
	}
)

// TestAccountProvesOnlyWhatIsProven guards against a promise or a second attempt without proof.
func TestAccountProvesOnlyWhatIsProven(t *testing.T) {
	named := evidence.Refusal{NamesCall: true}
	for name, test := range map[string]struct {
		// end is what happens in the first attempt, at endpoint a.
		end       func(*evidence.Attempt)
		mayRepeat bool
		// wantProof tells whether the call has not run, and wantSame and wantOther whether it may go to
		// the same endpoint and another.
		wantProof, wantSame, wantOther bool
	}{
		"not written":            {end: func(*evidence.Attempt) {}, wantProof: true, wantSame: true, wantOther: true},
		"nothing left":           {end: func(a *evidence.Attempt) { a.Send(); a.NotSent() }, wantProof: true, wantSame: true, wantOther: true},
		"no answer":              {end: func(a *evidence.Attempt) { a.Send() }},
		"refused":                {end: func(a *evidence.Attempt) { a.Send(); a.Refused(named) }, wantProof: true, wantOther: true},
		"refused without a name": {end: func(a *evidence.Attempt) { a.Send(); a.Refused(evidence.Refusal{}) }},
		"refused with a shared ID": {end: func(a *evidence.Attempt) {
			a.Send()
			a.Refused(evidence.Refusal{NamesCall: true, IsIDShared: true})
		}},
		"refused before it was sent":  {end: func(a *evidence.Attempt) { a.Refused(named); a.Send() }},
		"no answer, may repeat":       {end: func(a *evidence.Attempt) { a.Send() }, mayRepeat: true, wantSame: true, wantOther: true},
		"refused, may repeat":         {end: func(a *evidence.Attempt) { a.Send(); a.Refused(evidence.Refusal{}) }, mayRepeat: true, wantProof: true, wantSame: true, wantOther: true},
		"refused by a second attempt": {end: func(a *evidence.Attempt) { a.Send(); a.Refused(named); a.Refused(named) }, wantProof: true, wantOther: true},
	} {
		t.Run(name, func(t *testing.T) {
			account := evidence.New(test.mayRepeat)
			test.end(account.Begin(atA))
			if got := account.NotRun() != nil; got != test.wantProof {
				t.Errorf("proven: %v, want %v", got, test.wantProof)
			}
			if got := account.Begin(atA) != nil; got != test.wantSame {
				t.Errorf("may be sent to the same endpoint: %v, want %v", got, test.wantSame)
			}
			if got := account.Begin(atB) != nil; got != test.wantOther {
				t.Errorf("may be sent to another endpoint: %v, want %v", got, test.wantOther)
			}
		})
	}
}

// TestPlacesOfOneProcessCountAsOne guards against a second attempt at a process under another ID or address.
func TestPlacesOfOneProcessCountAsOne(t *testing.T) {
	for _, other := range []evidence.Place{{Address: atA.Address, EndpointID: "b"}, {Address: "10.0.0.2:80", EndpointID: atA.EndpointID}} {
		account := evidence.New(false)
		attempt := account.Begin(atA)
		attempt.Send()
		if !attempt.Refused(evidence.Refusal{NamesCall: true}) || account.Begin(other) != nil || account.Begin(atB) == nil {
			t.Errorf("a call that was refused at %v may be sent to %v, or not to %v", atA, other, atB)
		}
	}
}

// TestAttemptIsSentOnce guards against a request that is written twice in one attempt, or without one.
func TestAttemptIsSentOnce(t *testing.T) {
	attempt := evidence.New(true).Begin(atA)
	if !attempt.Send() || attempt.Send() {
		t.Error("the request may not be sent once")
	}
	var none *evidence.Attempt
	if none.Send() {
		t.Error("a request may be sent without an attempt")
	}
}
