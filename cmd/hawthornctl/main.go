// Command hawthornctl is the operators' command-line client. Package ctl
// implements it.
package main

import (
	"os"

	"hawthornstream/internal/ctl"
)

func main() {
	streams := ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(ctl.Main(os.Args[1:], streams, os.Getenv))
}
