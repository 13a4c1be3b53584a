// Command cases plays the cases of the review: it starts the daemons of the deploy file
// as processes, with stand-ins of the store, the workers and the consumers.
//
// Usage: cases NAME, in the folder of the case. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves the disruption
// out.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

var cases = map[string]func(b *bed, trouble bool) (broken string, err error){
	"memory": memoryCase,
	"stop":   stopCase,
	"path":   pathCase,
	"resume": resumeCase,
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNotRun)
	})
	os.Exit(play(cases[os.Args[1]], os.Getenv("TROUBLE") != "0"))
}

func play(one func(*bed, bool) (string, error), trouble bool) int {
	b, err := newBed()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := one(b, trouble)
	b.close()
	verdict, code := "the rule held", exitHeld
	switch {
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), exitNotRun
	case broken != "":
		verdict, code = "the rule was broken: "+broken, exitBroken
	}
	b.note("%s", verdict)
	if err := os.WriteFile("record.txt", b.record.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(verdict)
	return code
}
