package gateway_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"cactuswell/io/opaque"
	standin "cactuswell/standin/opaque"
)

// refusalOf returns a refusal as an endpoint writes it, with a header field for each given ID.
func refusalOf(ids ...string) string {
	names := opaque.DefaultHeaderNames()
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + names.NotRun + ": 1\r\nRetry-After: 0.1\r\nContent-Length: 4\r\n"
	for _, id := range ids {
		refusal += names.RequestID + ": " + id + "\r\n"
	}
	return refusal + "\r\nbusy"
}

// tornAfter returns the beginning of a text up to and including the given part.
func tornAfter(text, part string) string {
	before, _, _ := strings.Cut(text, part)
	return before + part
}

// behaviours makes the function that chooses an endpoint's behaviours, anew for each fixture.
type behaviours func() func(*http.Request) standin.Behaviour

func idOf(request *http.Request) string {
	return request.Header.Get(opaque.DefaultHeaderNames().RequestID)
}

// precededBy runs each call and sends before the answer what by returns for the call's ID.
func precededBy(by func(id string) string) behaviours {
	return func() func(*http.Request) standin.Behaviour {
		return func(request *http.Request) standin.Behaviour {
			return standin.PrecededAnswer{By: by(idOf(request))}
		}
	}
}

// firstThenPrecededBy behaves in the given way when it receives an ID for the first time, and like precededBy after that.
func firstThenPrecededBy(first standin.Behaviour, by func(id string) string) behaviours {
	return func() func(*http.Request) standin.Behaviour {
		isFirst := byAttempt(first, nil)
		return func(request *http.Request) standin.Behaviour {
			if behaviour := isFirst(request); behaviour != nil {
				return behaviour
			}
			return standin.PrecededAnswer{By: by(idOf(request))}
		}
	}
}

// checkPromises sends the given number of calls with one ID, on each route whose calls must run at most once, to an
// endpoint with the given behaviours, and checks that none runs twice or runs and is refused with a promise.
func checkPromises(t *testing.T, calls int, behave behaviours) {
	for _, path := range []string{"/hold/0", "/draft/0/stream"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1)
			f.setBehaviour(behave())
			promised := 0
			for call := range calls {
				request := f.request(http.MethodPost, path, []byte("body"))
				request.Header.Set(opaque.DefaultHeaderNames().RequestID, "the-same")
				if slices.Contains(promises, f.do(request).status) {
					promised++
				}
				if len(f.runs()) > call+1 {
					t.Errorf("%d runs of %d calls", len(f.runs()), call+1)
				}
			}
			if len(f.runs())+promised > calls {
				t.Errorf("%d runs of %d calls, of which %d were refused with a promise", len(f.runs()), calls, promised)
			}
		})
	}
}

// TestRefusalOfEarlierAttemptIsNoPromise guards against a call that runs twice, or runs though it was refused: a call
// that goes back to an endpoint gets the refusal of its earlier attempt once more, on another connection.
func TestRefusalOfEarlierAttemptIsNoPromise(t *testing.T) {
	misdirectionOf := func(id string) string {
		return strings.Replace(refusalOf(id), "503 Service Unavailable", "421 Misdirected Request", 1)
	}
	for name, behave := range map[string]behaviours{
		"503": firstThenPrecededBy(standin.Decline{}, func(id string) string { return refusalOf(id) }),
		"421": firstThenPrecededBy(standin.Misdirection{}, misdirectionOf),
	} {
		t.Run(name, func(t *testing.T) { checkPromises(t, 1, behave) })
	}
}

// TestRefusalWithoutIDIsNoPromise guards against a call that runs twice, or runs though it was refused: a refusal that
// names no request comes before the answer, on a new connection.
func TestRefusalWithoutIDIsNoPromise(t *testing.T) {
	checkPromises(t, 1, precededBy(func(string) string { return refusalOf() }))
}

// TestSplicedRefusalIsNoPromise guards against a call that runs twice, or runs though it was refused: the beginning of a
// refusal runs into the answer that follows, and the two read like one response.
func TestSplicedRefusalIsNoPromise(t *testing.T) {
	for name, by := range map[string]func(id string) string{
		"in a field":         func(string) string { return tornAfter(refusalOf(), "Run: ") },
		"in a later field":   func(string) string { return tornAfter(refusalOf(), "After: 0") },
		"in the length":      func(string) string { return tornAfter(refusalOf(), "Length: ") },
		"in the ID":          func(id string) string { return tornAfter(refusalOf(id), "Request-Id: ") },
		"in the status":      func(string) string { return "HTTP/1.1 42" },
		"before the body":    func(id string) string { return strings.TrimSuffix(refusalOf(), "\r\nbusy") },
		"in the body":        func(id string) string { return strings.TrimSuffix(refusalOf(), "sy") },
		"in the status line": func(string) string { return "HTTP/1.1 421 Misdi" },
		"after the status":   func(string) string { return "HTTP/1.1 421 " },
		"two IDs":            func(id string) string { return refusalOf("another", id) },
		"two IDs, own first": func(id string) string { return refusalOf(id, "another") },
	} {
		t.Run(name, func(t *testing.T) { checkPromises(t, 1, precededBy(by)) })
	}
	for name, by := range map[string]string{
		"in Connection":           tornAfter(refusalOf(), ": 1\r\n") + "Connection: clo",
		"in Connection, with 421": "HTTP/1.1 421 Misdirected Request\r\nConnection: ",
	} {
		t.Run(name, func(t *testing.T) {
			checkPromises(t, 1, func() func(*http.Request) standin.Behaviour {
				return func(*http.Request) standin.Behaviour {
					return standin.PrecededAnswer{
						By:     by,
						Closes: true,
					}
				}
			})
		})
	}
}

// TestContradictoryRefusalIsNoPromise guards against a call that runs twice, or runs though it was refused: the response
// has the status of a refusal and the mark of an endpoint that has run the call.
func TestContradictoryRefusalIsNoPromise(t *testing.T) {
	checkPromises(t, 1, func() func(*http.Request) standin.Behaviour {
		return func(*http.Request) standin.Behaviour {
			return standin.FalseNotRun{Status: http.StatusMisdirectedRequest}
		}
	})
}

// TestRefusalOfCallWithSameIDIsNoPromise guards against a call that runs twice, or runs though it was refused: its caller
// has given it the ID of an earlier call, whose refusal comes once more, on another connection.
func TestRefusalOfCallWithSameIDIsNoPromise(t *testing.T) {
	checkPromises(t, 2, firstThenPrecededBy(standin.CompleteAnswer{}, func(id string) string { return refusalOf(id) }))
}
