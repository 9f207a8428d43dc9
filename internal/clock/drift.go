//go:build !clockstep

package clock

import "time"

// newDrift gives none: only a build with the tag clockstep lets a test set the Unix clock.
func newDrift() func() time.Duration { return nil }
