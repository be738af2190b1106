//go:build review2

// Stand-2 plays the script cases of the second review: it starts the programs of the system and stands in for their clients, workers
// and operator.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule is broken")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(2)
	}
	play, ok := map[string]func(r *record, trouble bool) error{
		"cold": playCold, "drain": playDrain, "replace": playReplace,
	}[os.Args[1]]
	r, err := newRecord(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or the record cannot be written:", err)
		os.Exit(2)
	}
	err = play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errBroken):
		r.printf("result: broken: %v", err)
		fmt.Println(err)
		os.Exit(1)
	case err != nil:
		r.printf("result: could not run: %v", err)
		fmt.Println(err)
		os.Exit(2)
	}
	r.printf("result: held")
	fmt.Println("held")
}
