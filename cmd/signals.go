package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// stopSignals cancels contexts on signals: the first SIGINT or SIGTERM cancels
// stop, the second cancels kill. SIGHUP requests a reload of the settings;
// commands that have no settings to reload ignore it.
type stopSignals struct {
	stop       context.Context
	kill       context.Context
	cancelStop context.CancelFunc
	cancelKill context.CancelFunc
	signals    chan os.Signal
	// reload receives a value for each SIGHUP.
	reload chan struct{}
}

func newStopSignals() *stopSignals {
	s := &stopSignals{
		signals: make(chan os.Signal, 2),
		reload:  make(chan struct{}, 1),
	}
	s.stop, s.cancelStop = context.WithCancel(context.Background())
	s.kill, s.cancelKill = context.WithCancel(context.Background())
	// The process must survive a closed reader of its output.
	signal.Ignore(syscall.SIGPIPE)
	signal.Notify(s.signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go s.handleSignals()
	return s
}

func (s *stopSignals) handleSignals() {
	for received := range s.signals {
		if received == syscall.SIGHUP {
			s.requestReload()
			continue
		}
		if s.stop.Err() != nil {
			s.cancelKill()
			return
		}
		s.cancelStop()
	}
}

// requestReload sends to reload. Signals that arrive before the previous one was
// received are merged with it.
func (s *stopSignals) requestReload() {
	select {
	case s.reload <- struct{}{}:
	default:
	}
}

// close cancels both contexts and stops receiving signals.
func (s *stopSignals) close() {
	signal.Stop(s.signals)
	close(s.signals)
	s.cancelStop()
	s.cancelKill()
}
