package main

import (
	"flag"
	"fmt"
	"os"
)

// cases holds the cases by name. Each returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
var cases = map[string]func(r *rig, trouble bool) (int, error){
	"asterisk": runAsterisk,
	"crowd":    runCrowd,
	"joined":   runJoined,
	"leaving":  runLeaving,
	"silence":  runSilence,
}

func main() {
	name := flag.String("case", "", "case to run")
	program := flag.String("program", "target/cactuswell", "program of the deploy file")
	record := flag.String("record", "record.txt", "file for the record")
	serve := flag.String("serve", "", "ID of a server to run alone, in place of a case")
	flag.Parse()
	if *serve != "" {
		serveAlone(*serve)
	}
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	r, err := newRig(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	code, err := run(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("%v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	r.note("exit code %d", code)
	r.close()
	os.Exit(code)
}
