// Command cactuswell routes language-model traffic by service level and priority.
package main

import (
	"os"

	"cactuswell/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
