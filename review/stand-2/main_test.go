//go:build review2

package stand_test

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the plays by name; each returns whether the rule was broken.
var cases = map[string]func(world *world, trouble bool) (bool, error){
	"slow-body": slowBody,
}

// TestMain plays a case in place of tests.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "stand-2 CASE RECORD PROGRAM")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, record, program string) int {
	world, err := newWorld(record, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer world.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		world.close()
		os.Exit(unable)
	}()
	isBroken, err := cases[name](world, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		world.note("the case could not run: %v", err)
		fmt.Println("unable:", err)
		return unable
	case isBroken:
		world.note("the rule was broken")
		fmt.Println("broken")
		return broken
	}
	world.note("the rule held")
	fmt.Println("held")
	return held
}
