package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/broker"
)

// TestAppendRequest compares appendRequest with a simple reference that joins the fields that have a value, in the
// order of the protocol.
func TestAppendRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9]{0,4}`)
		endpoint := &broker.Endpoint{Name: "s-1"}
		attempt := &broker.Attempt{
			Request: &broker.Request{
				ID:         "r1",
				ObjectName: word.Draw(t, "object"),
				Part:       rapid.IntRange(0, 3).Draw(t, "part"),
				Key:        word.Draw(t, "key"),
				ETag:       word.Draw(t, "etag"),
				Body:       []byte(word.Draw(t, "body")),
			},
			Endpoint:     endpoint,
			Source:       endpoint,
			CacheRank:    rapid.IntRange(0, 3).Draw(t, "rank"),
			JoinFill:     rapid.Bool().Draw(t, "join fill"),
			CachedOnly:   rapid.Bool().Draw(t, "cached only"),
			BypassParent: rapid.Bool().Draw(t, "bypass parent"),
			Revalidate:   rapid.Bool().Draw(t, "revalidate"),
		}
		if rapid.Bool().Draw(t, "fill") {
			attempt.Source = &broker.Endpoint{Name: "p-1"}
		}
		maxAge := time.Duration(rapid.IntRange(0, 3000).Draw(t, "max age")) * time.Microsecond
		timeLeft := time.Duration(rapid.IntRange(-1, 3000).Draw(t, "time left")) * time.Microsecond

		request := attempt.Request
		fields := []string{"profile=web"}
		add := func(name string, value any) { fields = append(fields, fmt.Sprint(name, "=", value)) }
		if request.ObjectName != "" {
			add("thing", request.ObjectName)
		}
		add("nth", request.Part)
		add("max", max(1, timeLeft.Milliseconds()))
		if request.Key != "" {
			add("replay", request.Key)
		}
		if attempt.Source != endpoint {
			add("via", "p-1")
		}
		if attempt.CacheRank > 0 {
			add("tier", attempt.CacheRank)
		}
		if maxAge > 0 {
			add("fresh", max(1, maxAge.Milliseconds()))
		}
		if options := optionWords(attempt); len(options) > 0 {
			add("opts", strings.Join(options, "+"))
		}
		if request.ETag != "" {
			add("known", request.ETag)
		}
		want := fmt.Sprintf("ASK r1 %s %d\r\n%s\r\n", strings.Join(fields, ","), len(request.Body), request.Body)
		if got := string(appendRequest(nil, attempt, "web", maxAge, timeLeft)); got != want {
			t.Fatalf("got request %q, want %q", got, want)
		}
	})
}

func optionWords(attempt *broker.Attempt) (words []string) {
	if attempt.JoinFill {
		words = append(words, "ride")
	}
	if attempt.CachedOnly {
		words = append(words, "have-only")
	}
	if attempt.BypassParent {
		words = append(words, "through")
	}
	if attempt.Revalidate {
		words = append(words, "update")
	}
	return words
}
