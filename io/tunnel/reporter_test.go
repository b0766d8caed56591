package tunnel

import (
	"io"
	"net"
	"testing"

	"cactuswell/core/upload"
)

// TestReporterBreaksOff guards against a tunnel that stays open after the endpoint was reset, so that the host that has asked for
// it waits for receipts which never come.
func TestReporterBreaksOff(t *testing.T) {
	for name, test := range map[string]struct {
		transfer upload.Transfer
		want     step
	}{
		"under way":            {transfer: upload.Transfer{IsKnown: true, Unacked: 1}, want: goOn},
		"write failed":         {transfer: upload.Transfer{IsKnown: true, IsWriteFailed: true}, want: breakOff},
		"reset under way":      {transfer: upload.Transfer{IsKnown: true, IsReset: true, Unacked: 1}, want: breakOff},
		"reset once arrived":   {transfer: upload.Transfer{IsKnown: true, IsReset: true}, want: goOn},
		"closed after a write": {transfer: upload.Transfer{IsReset: true}, want: breakOff},
	} {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			defer func() { _ = there.Close() }()
			defer func() { _ = here.Close() }()
			go func() { _, _ = io.Copy(io.Discard, there) }()
			r := &reporter{frames: &frameWriter{conn: here}}
			if got := r.follow(test.transfer, 0); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}
