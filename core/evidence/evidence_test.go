package evidence_test

import (
	"net"
	"testing"

	"cactuswell/core/evidence"
)

func writes() (int, error) { return 1, nil }

func fails() (int, error) { return 0, net.ErrClosed }

func failsPartly() (int, error) { return 1, net.ErrClosed }

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
		"not written":    {end: func(*evidence.Attempt) {}, wantProof: true, wantSame: true, wantOther: true},
		"nothing left":   {end: func(a *evidence.Attempt) { _, _ = a.Send(fails) }, wantProof: true, wantSame: true, wantOther: true},
		"something left": {end: func(a *evidence.Attempt) { _, _ = a.Send(failsPartly) }},
		"refused, and run": {end: func(a *evidence.Attempt) {
			_, _ = a.Send(writes)
			a.Refused(evidence.Refusal{NamesCall: true, IsContradictory: true})
		}},
		"no answer":              {end: func(a *evidence.Attempt) { _, _ = a.Send(writes) }},
		"refused":                {end: func(a *evidence.Attempt) { _, _ = a.Send(writes); a.Refused(named) }, wantProof: true, wantOther: true},
		"refused without a name": {end: func(a *evidence.Attempt) { _, _ = a.Send(writes); a.Refused(evidence.Refusal{}) }},
		"refused with a shared ID": {end: func(a *evidence.Attempt) {
			_, _ = a.Send(writes)
			a.Refused(evidence.Refusal{NamesCall: true, IsIDShared: true})
		}},
		"refused before it was sent":  {end: func(a *evidence.Attempt) { a.Refused(named); _, _ = a.Send(writes) }},
		"no answer, may repeat":       {end: func(a *evidence.Attempt) { _, _ = a.Send(writes) }, mayRepeat: true, wantSame: true, wantOther: true},
		"refused, may repeat":         {end: func(a *evidence.Attempt) { _, _ = a.Send(writes); a.Refused(evidence.Refusal{}) }, mayRepeat: true, wantProof: true, wantSame: true, wantOther: true},
		"refused by a second attempt": {end: func(a *evidence.Attempt) { _, _ = a.Send(writes); a.Refused(named); a.Refused(named) }, wantProof: true, wantOther: true},
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
		_, _ = attempt.Send(writes)
		if !attempt.Refused(evidence.Refusal{NamesCall: true}) || account.Begin(other) != nil || account.Begin(atB) == nil {
			t.Errorf("a call that was refused at %v may be sent to %v, or not to %v", atA, other, atB)
		}
	}
}

// TestAttemptIsSentOnce guards against a request that is written twice in one attempt, or without one.
func TestAttemptIsSentOnce(t *testing.T) {
	attempt := evidence.New(true).Begin(atA)
	if _, err := attempt.Send(writes); err != nil {
		t.Errorf("the request may not be sent: %v", err)
	}
	var none *evidence.Attempt
	for name, attempt := range map[string]*evidence.Attempt{"used": attempt, "missing": none} {
		if _, err := attempt.Send(writes); err == nil {
			t.Errorf("a request may be sent with an attempt that is %s", name)
		}
	}
}

// TestAttemptsBegunTogetherAreSentOnce guards against two attempts that were begun before either was sent.
func TestAttemptsBegunTogetherAreSentOnce(t *testing.T) {
	account := evidence.New(false)
	first, second := account.Begin(atA), account.Begin(atB)
	if _, err := first.Send(writes); err != nil {
		t.Fatal(err)
	}
	if _, err := second.Send(writes); err == nil {
		t.Error("both attempts may be sent")
	}
}
