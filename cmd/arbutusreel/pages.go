package main

import (
	"context"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"arbutusreel/settings"
	"arbutusreel/wiregen"
)

func settingsCommand() *command {
	return &command{
		name: "settings",
		doc:  "Prints the reference of all settings in Markdown.",
		run:  func(_ context.Context, stdout io.Writer) error { return writeSettings(stdout) },
	}
}

func writeSettings(stdout io.Writer) error {
	fmt.Fprintln(stdout, "# Settings")
	fmt.Fprintln(stdout, "\nGenerated from schema/settings.proto by `make generate`. A flag goes before its environment variable.")
	pages := []struct {
		title string
		m     proto.Message
	}{
		{"arbutusreel entry", &wiregen.EntrySettings{}},
		{"arbutusreel control", &wiregen.ControlSettings{}},
		{"operators' commands", &wiregen.OperatorSettings{}},
		{"arbutusreel repair", &wiregen.RepairSettings{}},
	}
	for _, p := range pages {
		if err := settings.WritePage(stdout, p.title, p.m); err != nil {
			return err
		}
	}
	return nil
}

func versionCommand() *command {
	return &command{
		name: "version",
		doc:  "Prints the version.",
		run: func(_ context.Context, stdout io.Writer) error {
			_, err := fmt.Fprintln(stdout, "arbutusreel", version)
			return err
		},
	}
}
