//go:build review

// Command review2 plays the cases of the second review against the program: it is the
// platform, the minions and the clients, and starts the daemons as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() { os.Exit(play()) }

var scenarios = map[string]func(s *site, trouble bool) error{
	"fence":    fenceCase,
	"overtake": overtakeCase,
	"reborn":   rebornCase,
	"soak":     soakCase,
}

var seed = flag.Uint64("seed", 1, "seed of the soak")

func play() int {
	root := flag.String("root", ".", "the repository")
	dir := flag.String("dir", ".", "the folder of record.txt")
	flag.Parse()
	play := scenarios[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario", flag.Arg(0))
		return 2
	}
	abs, err := filepath.Abs(*root)
	if err != nil {
		return 2
	}
	log, err := newRecord(filepath.Join(*dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(abs, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- play(s, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case <-stop:
		err = fmt.Errorf("stopped")
	case <-time.After(115 * time.Second):
		err = fmt.Errorf("it took too long")
	}
	if err == nil {
		s.check()
	}
	s.close()
	status := log.close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	}
	return status
}
