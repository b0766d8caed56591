package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals turns the signals to stop into the ends of two contexts: the first
// signal ends stop, the second ends kill. A hangup asks to read the settings
// anew; commands that have none to read pass over it.
type stopSignals struct {
	stop    context.Context
	kill    context.Context
	endStop context.CancelFunc
	endKill context.CancelFunc
	signals chan os.Signal
	// reload gets a value at each signal to read the settings anew.
	reload chan struct{}
}

func newStopSignals() *stopSignals {
	s := &stopSignals{
		signals: make(chan os.Signal, 2),
		reload:  make(chan struct{}, 1),
	}
	s.stop, s.endStop = context.WithCancel(context.Background())
	s.kill, s.endKill = context.WithCancel(context.Background())
	// A reader of the output that is gone must not end the process.
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go s.run()
	return s
}

func (s *stopSignals) run() {
	for received := range s.signals {
		if received == syscall.SIGHUP {
			s.askReload()
			continue
		}
		if s.stop.Err() != nil {
			s.endKill()
			return
		}
		s.endStop()
	}
}

// askReload merges signals that come before the last one was seen to.
func (s *stopSignals) askReload() {
	select {
	case s.reload <- struct{}{}:
	default:
	}
}

// close ends both contexts and stops listening to signals.
func (s *stopSignals) close() {
	signal.Stop(s.signals)
	close(s.signals)
	s.endStop()
	s.endKill()
}
