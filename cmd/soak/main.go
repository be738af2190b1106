package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"arbutusreel/platform/soak"
)

// recovery is how long service may be away after the last fault: the platform's bound.
const recovery = 12 * time.Second

// most is the greatest number of seeds in one call: each has loopback addresses of its own.
const most = 200

func main() {
	program, dir := "bin/arbutusreel", ""
	first, count := 1, 1
	seconds := 15.0
	flaggy.SetName("soak")
	flaggy.SetDescription("Runs the platform's programs under seeded faults.")
	flaggy.String(&program, "", "program", "Path of arbutusreel.")
	flaggy.String(&dir, "", "dir", "Folder for data and logs; empty makes one.")
	flaggy.Int(&first, "", "seed", "First seed.")
	flaggy.Int(&count, "", "count", "Number of seeds.")
	flaggy.Float64(&seconds, "", "seconds", "Time of faults for each seed, in seconds.")
	var sizes soak.Options
	flaggy.Int(&sizes.Controls, "", "controls", "Number of control daemons, at least three; zero is the usual number.")
	flaggy.Int(&sizes.Gateways, "", "gateways", "Number of gateways; zero is the usual number.")
	flaggy.Int(&sizes.Endpoints, "", "endpoints", "Number of endpoints; zero is the usual number.")
	flaggy.Int(&sizes.Callers, "", "callers", "Number of callers; zero is the usual number.")
	flaggy.Parse()
	if dir == "" {
		made, err := os.MkdirTemp("", "soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		dir = made
	}
	broken := 0
	for i := range min(count, most) {
		seed := first + i
		o := soak.Options{
			Program: program, Dir: filepath.Join(dir, fmt.Sprint(seed)), Seed: uint64(seed), First: 1 + seed%most, Recovery: recovery,
			Faults: time.Duration(seconds * float64(time.Second)), Controls: sizes.Controls, Gateways: sizes.Gateways,
			Endpoints: sizes.Endpoints, Callers: sizes.Callers,
		}
		judge, err := soak.Run(context.Background(), o)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		counts, faults := judge.Result()
		report(seed, counts, faults, o.Dir)
		if len(faults) > 0 {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d broken\n", min(count, most), broken)
	if broken > 0 {
		os.Exit(1)
	}
}

func report(seed int, counts map[string]int, faults []string, dir string) {
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
	for _, fault := range faults[:min(len(faults), 10)] {
		fmt.Printf("  BROKEN %s (logs in %s)\n", fault, dir)
	}
}
