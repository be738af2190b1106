package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/platform/soak"
)

// recoveryTimeout is the platform's bound on the recovery of service after the last fault.
const recoveryTimeout = 12 * time.Second

// maxSeeds bounds the seeds of one run, since each seed uses a loopback subnet of its own.
const maxSeeds = 200

// maxPrinted bounds the violations that are printed for one seed of those that begin with the same word.
const maxPrinted = 10

func main() {
	program, dir := "bin/arbutusreel", ""
	first, count := 1, 1
	seconds := 15.0
	flaggy.SetName("soak")
	flaggy.SetDescription("Runs the platform's programs under seeded faults.")
	flaggy.String(&program, "", "program", "Path of the arbutusreel binary.")
	flaggy.String(&dir, "", "dir", "Folder for data and logs; by default a new temporary folder.")
	flaggy.Int(&first, "", "seed", "First seed.")
	flaggy.Int(&count, "", "count", "Number of seeds.")
	flaggy.Float64(&seconds, "", "seconds", "Time of fault injection for each seed, in seconds.")
	var sizes soak.Options
	flaggy.Int(&sizes.Controls, "", "controls", "Number of control daemons, at least three; zero selects the default.")
	flaggy.Int(&sizes.Gateways, "", "gateways", "Number of gateways; zero selects the default.")
	flaggy.Int(&sizes.Endpoints, "", "endpoints", "Number of endpoints; zero selects the default.")
	flaggy.Int(&sizes.Callers, "", "callers", "Number of callers; zero selects the default.")
	run, regions, kept := soak.Run, false, false
	flaggy.Bool(&regions, "", "regions", "Restart the gateways of regions instead, under callers that ask the directories.")
	flaggy.Bool(&kept, "", "kept", "Do planned work alone instead, under callers that keep their connections.")
	flaggy.Parse()
	if regions {
		run = soak.RunRegions
	}
	if kept {
		run = soak.RunKept
	}
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		dir = tempDir
	}
	broken := 0
	for i := range min(count, maxSeeds) {
		seed := first + i
		o := soak.Options{
			Program: program, Dir: filepath.Join(dir, fmt.Sprint(seed)), Seed: uint64(seed), Subnet: 1 + seed%maxSeeds, RecoveryTimeout: recoveryTimeout,
			FaultDuration: time.Duration(seconds * float64(time.Second)), Controls: sizes.Controls, Gateways: sizes.Gateways,
			Endpoints: sizes.Endpoints, Callers: sizes.Callers,
		}
		checker, err := run(context.Background(), o)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		counts, violations := checker.Result()
		report(seed, counts, violations, o.Dir)
		if len(violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d broken\n", min(count, maxSeeds), broken)
	if broken > 0 {
		os.Exit(1)
	}
}

func report(seed int, counts map[string]int, violations []string, dir string) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Printf("seed %d:", seed)
	for _, name := range names {
		fmt.Printf(" %s=%d", name, counts[name])
	}
	fmt.Println()
	printed := map[string]int{}
	for _, violation := range violations {
		rule, _, _ := strings.Cut(violation, " ")
		if printed[rule]++; printed[rule] <= maxPrinted {
			fmt.Printf("  BROKEN %s (logs in %s)\n", violation, dir)
		}
	}
}
