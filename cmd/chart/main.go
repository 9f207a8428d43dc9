// Command chart draws the time line that `sloequay drill --report DIR` leaves: DIR/timeline.json becomes DIR/timeline.svg.
package main

import (
	"encoding/json"
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

func run(args []string) error {
	if len(args) != 1 {
		return fmt.Errorf("expected the folder of a report")
	}
	text, err := os.ReadFile(filepath.Join(args[0], "timeline.json"))
	if err != nil {
		return err
	}
	var t drill.Timeline
	if err := json.Unmarshal(text, &t); err != nil {
		return fmt.Errorf("timeline.json: %w", err)
	}
	svg, err := chart.SVG(t)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(args[0], "timeline.svg"), svg, 0o600)
}
