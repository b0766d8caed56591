package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"cactuswell/core/directory"
	standin "cactuswell/standin/opaque"
)

// TestRefusalThroughOtherHostIsNoPromise guards against a call that runs twice, or runs though it was refused: the refusal
// of something else comes through a tunnel, before the answer.
func TestRefusalThroughOtherHostIsNoPromise(t *testing.T) {
	for name, behave := range map[string]behaviours{
		"earlier":        firstThenPrecededBy(standin.Decline{}, func(id string) string { return refusalOf(id) }),
		"without an ID":  precededBy(func(string) string { return refusalOf() }),
		"of another":     precededBy(func(string) string { return refusalOf("another") }),
		"two of another": precededBy(func(string) string { return refusalOf("another") + refusalOf("another") }),
		"repeated later": func() func(*http.Request) standin.Behaviour {
			return byAttempt(standin.Decline{Copies: 2, Delay: time.Millisecond}, standin.CompleteAnswer{})
		},
		"without an ID, later": func() func(*http.Request) standin.Behaviour {
			return byAttempt(standin.Decline{Copies: 2, Delay: time.Millisecond, WithoutID: true}, standin.CompleteAnswer{})
		},
	} {
		for _, path := range []string{"/hold/%d", "/draft/%d/stream"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newTunnelFleet(t, &fixture{}, 2)
				for i := range 6 {
					for _, endpoint := range f.endpoints {
						endpoint.SetBehaviour(behave())
					}
					f.callOnce(t, fmt.Sprintf(path, i), fmt.Sprintf("refused-%d", i), "body")
				}
			})
		}
	}
}

// TestCallOverTwoPathsRunsOnce guards against a call that is declined over one path and then goes to the same endpoint over
// another one, where its first refusal comes before the answer.
func TestCallOverTwoPathsRunsOnce(t *testing.T) {
	for name, states := range map[string][2]linkState{
		"direct, then through a host": {linkOpen, linkReset},
		"through a host, then direct": {linkReset, linkOpen},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTunnelFleet(t, &fixture{}, 1)
			f.host.link.set(states[0])
			eventually(t, "calls are served", func() bool { return len(f.serve(f.host, 1)) == 0 })
			isFirst := byAttempt(standin.Decline{After: 100 * time.Millisecond}, nil)
			f.setBehaviour(func(request *http.Request) standin.Behaviour {
				if behaviour := isFirst(request); behaviour != nil {
					time.AfterFunc(90*time.Millisecond, func() { f.host.link.set(states[1]) })
					return behaviour
				}
				return standin.PrecededAnswer{By: refusalOf(idOf(request))}
			})
			for i := range 3 {
				f.callOnce(t, fmt.Sprintf("/hold/%d", i), fmt.Sprintf("paths-%d", i), "body")
			}
		})
	}
}

// TestStoppedHelperRunsNoCallTwice guards against a call that runs twice, or runs though it was refused, as the host through
// which it goes stops, with time for the call or without.
func TestStoppedHelperRunsNoCallTwice(t *testing.T) {
	for name, behaviour := range map[string]standin.Behaviour{
		"short":    standin.DelayedAnswer{After: 300 * time.Millisecond},
		"long":     standin.Hang{},
		"declined": standin.Decline{After: 300 * time.Millisecond},
	} {
		for _, isKilled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, killed %v", name, isKilled), func(t *testing.T) {
				t.Parallel()
				f := newTunnelFleet(t, &fixture{}, 2)
				received := make(chan struct{}, 8)
				f.setBehaviour(func(*http.Request) standin.Behaviour {
					received <- struct{}{}
					return behaviour
				})
				done := make(chan reply, 1)
				go func() { done <- f.callOnce(t, "/hold/x", "stopped", "body") }()
				<-received
				if isKilled {
					f.helper.kill()
				} else {
					f.helper.stop()
				}
				got := <-done
				f.checkOnce(t, "stopped", got)
				if name == "short" && !isKilled && got.status != http.StatusOK {
					t.Errorf("status %d", got.status)
				}
			})
		}
	}
}

// passOn connects the connections to a listener with an address.
func passOn(listener net.Listener, address string) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", address)
		if err != nil {
			_ = from.Close()
			continue
		}
		for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1])
				_ = pair[0].Close()
			}()
		}
	}
}

// TestEndpointAtTwoAddressesRunsCallOnce guards against a call that an endpoint has declined and that goes to the same endpoint
// under another ID or at another address, where its first refusal comes before the answer.
func TestEndpointAtTwoAddressesRunsCallOnce(t *testing.T) {
	for name, publish := range map[string]func(f *fixture, second string){
		"two IDs of one address": func(f *fixture, _ string) {
			f.publishEndpoint("booking-1", service, f.endpoints[0].Address(), false)
		},
		"another incarnation at its address": func(f *fixture, _ string) {
			f.publishEntry("booking-0", directory.Entry{
				Born:    2,
				Service: service,
				Address: f.endpoints[0].Address(),
				Zone:    "z0",
				Slots:   4,
			})
		},
		"another service at its address": func(f *fixture, _ string) {
			f.publishEndpoint("booking-0", models, f.endpoints[0].Address(), false)
			f.publishEndpoint("booking-1", service, f.endpoints[0].Address(), false)
		},
		"the same ID at another address": func(f *fixture, second string) {
			f.publishEndpoint("booking-0", service, second, false)
		},
	} {
		for status, first := range map[string]standin.Behaviour{
			"503": standin.Decline{},
			"421": standin.Misdirection{},
		} {
			t.Run(status+" of "+name, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 1)
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = listener.Close() })
				go passOn(listener, f.endpoints[0].Address())
				isFirst := byAttempt(first, nil)
				f.endpoints[0].SetBehaviour(func(request *http.Request) standin.Behaviour {
					if behaviour := isFirst(request); behaviour != nil {
						publish(f, listener.Addr().String())
						// The host learns of it before the refusal.
						<-time.After(600 * time.Millisecond)
						return behaviour
					}
					return standin.PrecededAnswer{By: refusalOf(idOf(request))}
				})
				request := f.request(http.MethodPost, "/hold/x", []byte("body"))
				got := f.do(request)
				runs := f.runsOf(idOf(request))
				if runs > 1 || runs > 0 && slices.Contains(promises, got.status) {
					t.Errorf("%d runs, status %d", runs, got.status)
				}
			})
		}
	}
}
