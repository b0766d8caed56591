package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestEndsAndHeadsAreReported guards against hypotheses that the lines and metrics cannot tell apart: how an answer without a
// length ended with its connection, and why a head was refused.
func TestEndsAndHeadsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		behaviour standin.Behaviour
		status    int
		line      []string
		metric    string
	}{
		"arrived": {
			behaviour: standin.MissingLength{},
			status:    http.StatusOK,
			line:      []string{`"event":"callEnded"`, `"framing":"end"`, `"end":"arrived"`},
			metric:    `cactuswell_connection_ends_total{end="arrived"} 1`,
		},
		"cut": {
			behaviour: standin.Crash{
				Bytes:      3,
				IsUnframed: true,
			},
			status: http.StatusBadGateway,
			line:   []string{`"event":"answerCut"`, `"end":"endpointDown"`, `"requestBytes":4`, `"delivered":false`},
			metric: `cactuswell_connection_ends_total{end="endpointDown"} 1`,
		},
		"invalid status": {
			behaviour: standin.PrecededAnswer{By: "HTTP/1.1 000 Odd\r\n\r\n"},
			status:    http.StatusBadGateway,
			line:      []string{`"event":"headRefused"`, `"reason":"statusBelow100"`, `"trailer":false`},
			metric:    `cactuswell_heads_refused_total{reason="statusBelow100"} 1`,
		},
		"invalid name": {
			behaviour: standin.PrecededAnswer{By: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n"},
			status:    http.StatusBadGateway,
			line:      []string{`"event":"headRefused"`, `"reason":"fieldName"`, `"status":103`, `"field":"X Odd"`},
			metric:    `cactuswell_heads_refused_total{reason="fieldName"} 1`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1)
			f.setBehaviour(func(*http.Request) standin.Behaviour { return test.behaviour })
			if got := f.post("/hold/1", "body"); got.status != test.status {
				t.Errorf("the caller got %+v", got)
			}
			f.awaitLine(test.line...)
			if metrics := f.metrics(); !strings.Contains(metrics, test.metric+"\n") {
				t.Errorf("no metric %s", test.metric)
			}
		})
	}
}
