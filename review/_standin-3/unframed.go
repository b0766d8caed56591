package main

import (
	"syscall"
	"time"
)

const (
	streamService = "huvo11a"
	// streamEventCount is the number of events of a server's whole stream.
	streamEventCount = 40
)

// judgeStreams counts the streams that ended as complete before their last event.
func judgeStreams(r *rig, results []streamResult) (violations int) {
	whole := 0
	for _, result := range results {
		if result.status != 200 || !result.isComplete {
			continue
		}
		if result.events == streamEventCount {
			whole++
			continue
		}
		violations++
		r.say("BROKEN: client %s at %s got a complete answer with status 200 and %d of %d events", result.id, result.host, result.events, streamEventCount)
	}
	r.say("%d streams, %d of them whole, %d complete before their last event", len(results), whole, violations)
	if whole == 0 {
		check(&noStreamError{})
	}
	return violations
}

// noStreamError reports that no client got a whole stream.
type noStreamError struct{}

func (*noStreamError) Error() string { return "no client got a whole stream" }

// crashed is the number of servers that crash, of streamServers.
const (
	streamServers = 12
	crashed       = 3
)

// runUnframedCrash kills a quarter of the servers under the usual load.
func runUnframedCrash(r *rig) int {
	return playCrash(r, 28, func() func() { return func() {} })
}

// runUnframedCrashBesideFreeze kills a quarter of the servers while one host is stopped.
func runUnframedCrashBesideFreeze(r *rig) int {
	return playCrash(r, 8, func() func() {
		frozen := r.hosts[len(r.hosts)-1]
		r.say("host %s is stopped", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.Sleep(500 * time.Millisecond)
		return func() {
			time.Sleep(3500 * time.Millisecond)
			frozen.signal(syscall.SIGCONT)
			r.say("host %s goes on", frozen.name)
		}
	})
}

// playCrash kills servers while clients at each host ask for streams. Before that it begins a
// further disruption, which the returned function ends.
func playCrash(r *rig, clientsPerHost int, begin func() (end func())) int {
	r.configure(streamService)
	r.startServers(streamService, streamServers)
	r.startHosts(6)
	time.Sleep(2 * time.Second)
	l := r.startLoad(streamPath, clientsPerHost)
	time.Sleep(2 * time.Second)
	if r.trouble {
		end := begin()
		for _, s := range r.servers[:crashed] {
			r.say("server %s is killed", s.name)
			s.kill()
		}
		end()
	}
	time.Sleep(6 * time.Second)
	return judgeStreams(r, l.end())
}
