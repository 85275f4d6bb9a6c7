// Command standin-2 plays the scripts of the second review: it starts the programs of the project
// as processes of their own, with stand-ins of the store, the replicas and the callers, and judges
// what callers and replicas have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit bounds a script.
const timeLimit = 110 * time.Second

// brokenError reports a broken rule.
type brokenError struct{ What string }

func (e *brokenError) Error() string { return e.What }

// scenarios are the scripts by name. A scenario returns a *brokenError if its rule was broken.
var scenarios = map[string]func(s *site) error{
	"answers-without-end": answersWithoutEnd,
	"unread-body":         unreadBody,
	"encoded-slash":       encodedSlash,
	"path-header":         pathHeader,
	"slow-senders":        slowSenders,
	"second-copies":       secondCopies,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a scenario and writes record.txt in the folder of its case.
func play(name, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	s := &site{record: &recorder{out: out, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.stop()
	s.record.add("scenario %s, trouble %t", name, s.trouble)
	limit := time.AfterFunc(timeLimit, func() {
		s.record.add("result: not run: it takes longer than %s", timeLimit)
		s.stop()
		os.Exit(exitNotRun)
	})
	defer limit.Stop()
	err = scenarios[name](s)
	var broken *brokenError
	switch {
	case err == nil:
		s.conclude("the rule held")
		return exitHeld
	case errors.As(err, &broken):
		s.conclude("the rule was broken: " + broken.What)
		return exitBroken
	}
	s.conclude("not run: " + err.Error())
	return exitNotRun
}

// conclude records and prints the result.
func (s *site) conclude(result string) {
	s.record.add("result: %s", result)
	fmt.Println(result)
}
