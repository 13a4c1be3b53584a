// Command review-3 plays the cases of the third review: it starts the product's daemons as
// processes beside stand-ins of the platform, its workers and its clients. Its arguments are the
// name of a scenario and the folder for record.txt. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

// scenario returns how often the rule was broken.
type scenario func(b *bed) (broken int, err error)

var scenarios = map[string]scenario{
	"count":   count,
	"relayed": relayed,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 SCENARIO FOLDER")
		return 2
	}
	b, err := newBed(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	broken, err := scenarios[arguments[0]](b)
	switch {
	case err != nil:
		b.record.say("the case could not run: %v", err)
		return 2
	case broken > 0:
		b.record.say("BROKEN: %d", broken)
		return 1
	}
	b.record.say("held")
	return 0
}
