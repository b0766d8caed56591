package gateway_test

import "runtime"

// yield lets other goroutines run.
func yield() { runtime.Gosched() }
