// The program of the cases in review/11 and later: a stand-in of a server, and what a case does to a
// fleet of hosts around it.
//
// # Usage
//
//	target/review-standin-3 server --id i-1 --address 127.0.0.1:9001 ...
//	target/review-standin-3 case 11 review/11/record.txt
//
// A case exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds what each case does, by its number.
var cases = map[string]func(*rig) (violations int){
	"11": runUnframedCrash,
	"12": runSpoiledSummaries,
	"13": runUnframedCrashBesideFreeze,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 case NUMBER RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[2], os.Args[3]))
}

// runCase runs a case and returns its exit code.
func runCase(name, recordPath string) int {
	r, err := newRig(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	go r.awaitSignal()
	violations, err := r.protect(cases[name])
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case violations > 0:
		r.say("the rule was broken %d times", violations)
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
