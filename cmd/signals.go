package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals turns the signals to stop into the ends of two contexts: the first
// signal ends stop, the second ends kill.
type stopSignals struct {
	stop    context.Context
	kill    context.Context
	endStop context.CancelFunc
	endKill context.CancelFunc
	signals chan os.Signal
}

func newStopSignals() *stopSignals {
	s := &stopSignals{
		signals: make(chan os.Signal, 2),
	}
	s.stop, s.endStop = context.WithCancel(context.Background())
	s.kill, s.endKill = context.WithCancel(context.Background())
	signal.Notify(s.signals, os.Interrupt, syscall.SIGTERM)
	go s.run()
	return s
}

func (s *stopSignals) run() {
	for range s.signals {
		if s.stop.Err() != nil {
			s.endKill()
			return
		}
		s.endStop()
	}
}

// close ends both contexts and stops listening to signals.
func (s *stopSignals) close() {
	signal.Stop(s.signals)
	close(s.signals)
	s.endStop()
	s.endKill()
}
