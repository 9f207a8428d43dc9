// Command chart draws the time line that `sloequay drill --report DIR` leaves: DIR/timeline.json becomes
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

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "chart:", err)
		os.Exit(1)
	}
}

// run draws the time line of the report's folder that the arguments name.
func run(args []string) error {
	if len(args) != 1 {
		return errors.New("expected the folder of a report")
	}
	dir := args[0]
	text, err := os.ReadFile(filepath.Join(dir, "timeline.json"))
	if err != nil {
		return err
	}
	var timeline drill.Timeline
	if err := json.Unmarshal(text, &timeline); err != nil {
		return fmt.Errorf("timeline.json: %w", err)
	}
	svg, err := chart.SVG(timeline)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "timeline.svg"), svg, 0o600)
}
