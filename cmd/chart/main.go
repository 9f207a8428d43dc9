// Command chart plots the timeline that `sloequay drill --report DIR` writes: it reads DIR/timeline.json and writes
// DIR/timeline.svg.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"sloequay/internal/drill"
	"sloequay/internal/drill/chart"
)

// The files in the report directory.
const (
	timelineFile = "timeline.json"
	chartFile    = "timeline.svg"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "chart:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) != 1 {
		return errors.New("expected one argument: the report directory")
	}
	directory := args[0]
	text, err := os.ReadFile(filepath.Join(directory, timelineFile))
	if err != nil {
		return err
	}
	var timeline drill.Timeline
	if err := json.Unmarshal(text, &timeline); err != nil {
		return fmt.Errorf("%s: %w", timelineFile, err)
	}
	svg, err := chart.SVG(timeline)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, chartFile), svg, 0o600)
}
