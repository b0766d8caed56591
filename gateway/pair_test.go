package gateway

import (
	"errors"
	"os"
	"syscall"
	"testing"
)

// TestPairFindsAPortFreeForBoth covers a port that was free for connections and
// taken for datagrams, where the settings leave the port to the system.
func TestPairFindsAPortFreeForBoth(t *testing.T) {
	inUse := os.NewSyscallError("bind", syscall.EADDRINUSE)
	for _, c := range []struct {
		name    string
		address string
		taken   int
		fault   error
		opens   int
		ok      bool
	}{
		{"free", "127.0.0.1:0", 0, nil, 1, true},
		{"taken", "127.0.0.1:0", 3, inUse, 4, true},
		{"allTaken", "127.0.0.1:0", pairTries, inUse, pairTries, false},
		{"otherFault", "127.0.0.1:0", 1, errors.New("no sockets"), 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			opens := 0
			listener, err := listenPair(c.address, func(string) error {
				opens++
				if opens <= c.taken {
					return c.fault
				}
				return nil
			})
			if opens != c.opens || (err == nil) != c.ok {
				t.Errorf("%d sockets opened, error %v", opens, err)
			}
			if listener != nil {
				_ = listener.Close()
			}
		})
	}
}
