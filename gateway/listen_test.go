package gateway

import (
	"errors"
	"os"
	"syscall"
	"testing"
)

// TestListenTCPAndUDPFindsPortFreeForBoth guards against a failed start when the
// operating system chooses a port that is free for TCP but in use for UDP.
func TestListenTCPAndUDPFindsPortFreeForBoth(t *testing.T) {
	inUse := os.NewSyscallError("bind", syscall.EADDRINUSE)
	for _, c := range []struct {
		name      string
		address   string
		failures  int
		openErr   error
		wantOpens int
		wantOK    bool
	}{
		{"free", "127.0.0.1:0", 0, nil, 1, true},
		{"taken", "127.0.0.1:0", 3, inUse, 4, true},
		{"allTaken", "127.0.0.1:0", maxPortTries, inUse, maxPortTries, false},
		{"otherFault", "127.0.0.1:0", 1, errors.New("no sockets"), 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			opens := 0
			listener, err := listenTCPAndUDP(c.address, func(string) error {
				opens++
				if opens <= c.failures {
					return c.openErr
				}
				return nil
			})
			if opens != c.wantOpens || (err == nil) != c.wantOK {
				t.Errorf("tried to open %d UDP sockets, error %v", opens, err)
			}
			if listener != nil {
				_ = listener.Close()
			}
		})
	}
}
