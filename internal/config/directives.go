package config

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// addWord adds a directive that takes exactly one word. show returns the current value; empty: none.
func (s *Section) addWord(name string, set func(word string) error, show func() string) {
	s.add(&directive{
		name: name,
		set: func(words []string) error {
			if len(words) != 1 {
				return fmt.Errorf("expected one word, got %d", len(words))
			}
			return set(words[0])
		},
		show: func() []string {
			if text := show(); text != "" {
				return []string{text}
			}
			return nil
		},
	})
}

// Duration adds a duration from minimum to maximum, such as 300ms or 1m30s.
func (s *Section) Duration(name string, value *time.Duration, minimum, maximum time.Duration, _ string) {
	s.addWord(name, func(word string) error {
		duration, err := time.ParseDuration(word)
		if err != nil || duration < minimum || duration > maximum {
			return fmt.Errorf("expected a duration of %s to %s, got %q",
				shortDuration(minimum), shortDuration(maximum), word)
		}
		*value = duration
		return nil
	}, func() string { return shortDuration(*value) })
}

// shortDuration formats a duration without the trailing zero units of Duration.String: 10m, not 10m0s.
func shortDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Int adds an integer from minimum to maximum.
func (s *Section) Int(name string, value *int, minimum, maximum int, _ string) {
	s.addWord(name, func(word string) error {
		number, err := strconv.Atoi(word)
		if err != nil || number < minimum || number > maximum {
			return fmt.Errorf("expected a whole number of %d to %d, got %q", minimum, maximum, word)
		}
		*value = number
		return nil
	}, func() string { return strconv.Itoa(*value) })
}

// Number adds a number from minimum to maximum.
func (s *Section) Number(name string, value *float64, minimum, maximum float64, _ string) {
	s.addWord(name, func(word string) error {
		number, err := strconv.ParseFloat(word, 64)
		if err != nil || !isBetween(number, minimum, maximum) {
			return fmt.Errorf("expected a number of %g to %g, got %q", minimum, maximum, word)
		}
		*value = number
		return nil
	}, func() string { return formatNumber(*value) })
}

// isBetween reports whether minimum <= number <= maximum. It returns false for NaN.
func isBetween(number, minimum, maximum float64) bool { return number >= minimum && number <= maximum }

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', -1, 64) }

// sizeUnits holds the units of sizes, largest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// Size adds a size from minimum to maximum bytes, written with a unit, such as 64MiB.
func (s *Section) Size(name string, value *int64, minimum, maximum int64, _ string) {
	s.addWord(name, func(word string) error {
		size, ok := parseSize(word, maximum)
		if !ok || size < minimum {
			return fmt.Errorf("expected a size of %s to %s, got %q", formatSize(minimum), formatSize(maximum), word)
		}
		*value = size
		return nil
	}, func() string { return formatSize(*value) })
}

// parseSize parses a size of at most maximum bytes.
func parseSize(word string, maximum int64) (size int64, ok bool) {
	for _, unit := range sizeUnits {
		digits, hasUnit := strings.CutSuffix(word, unit.name)
		if !hasUnit {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 64)
		isValid := err == nil && count >= 0 && count <= maximum/unit.bytes
		return count * unit.bytes, isValid
	}
	return 0, false
}

// formatSize formats a size in the largest unit of which it is a multiple.
func formatSize(size int64) string {
	for _, unit := range sizeUnits {
		if size != 0 && size%unit.bytes == 0 {
			return strconv.FormatInt(size/unit.bytes, 10) + unit.name
		}
	}
	return "0B"
}

// Rate adds a rate from minimum to maximum per second, such as 200/s. Print shows a rate of 0 and an infinite rate as
// none.
func (s *Section) Rate(name string, value *float64, minimum, maximum float64, _ string) {
	s.addWord(name, func(word string) error {
		digits, hasUnit := strings.CutSuffix(word, "/s")
		rate, err := strconv.ParseFloat(digits, 64)
		if !hasUnit || err != nil || !isBetween(rate, minimum, maximum) {
			return fmt.Errorf("expected a rate of %g/s to %g/s, got %q", minimum, maximum, word)
		}
		*value = rate
		return nil
	}, func() string {
		if math.IsInf(*value, 0) || *value == 0 {
			return ""
		}
		return formatNumber(*value) + "/s"
	})
}

// The values of a flag.
const (
	flagOn  = "on"
	flagOff = "off"
)

// Flag adds a directive that is on or off.
func (s *Section) Flag(name string, value *bool, _ string) {
	s.addWord(name, func(word string) error {
		if word != flagOn && word != flagOff {
			return fmt.Errorf("expected on or off, got %q", word)
		}
		*value = word == flagOn
		return nil
	}, func() string {
		if *value {
			return flagOn
		}
		return flagOff
	})
}

// Text adds a directive that takes one word. check, if not nil, returns an error for an invalid word.
func (s *Section) Text(name string, value *string, check func(string) error, _ string) {
	s.addWord(name, func(word string) error {
		if check != nil {
			if err := check(word); err != nil {
				return err
			}
		}
		*value = word
		return nil
	}, func() string {
		if *value == "" {
			return ""
		}
		return quote(*value)
	})
}

// Choice adds a directive that takes one of the given words.
func (s *Section) Choice(name string, value *string, words []string, help string) {
	s.Text(name, value, func(word string) error {
		if !slices.Contains(words, word) {
			return fmt.Errorf("expected one of %s, got %q", strings.Join(words, ", "), word)
		}
		return nil
	}, help)
}

// Words adds a list of words. check, if not nil, returns an error for an invalid word. The directive may be given more
// than once: the first line replaces the default, and the others add to the list.
func (s *Section) Words(name string, value *[]string, check func(string) error, _ string) {
	isDefault := true
	set := func(words []string) error {
		if len(words) == 0 {
			return errors.New("expected at least one word")
		}
		for _, word := range words {
			if check == nil {
				break
			}
			if err := check(word); err != nil {
				return err
			}
		}
		if isDefault {
			*value = nil
			isDefault = false
		}
		*value = append(*value, words...)
		return nil
	}
	show := func() []string {
		if len(*value) == 0 {
			return nil
		}
		return []string{strings.Join(quoteAll(*value), " ")}
	}
	s.add(&directive{name: name, repeatable: true, set: set, show: show})
}

// Repeated adds a directive that may be given any number of times. set gets the words of each line. Print writes the
// same words again.
func (s *Section) Repeated(name string, set func(words []string) error, _ string) {
	var given []string
	s.add(&directive{
		name:       name,
		repeatable: true,
		set: func(words []string) error {
			if err := set(words); err != nil {
				return err
			}
			given = append(given, strings.Join(quoteAll(words), " "))
			return nil
		},
		show: func() []string { return given },
	})
}

// Block adds a directive with a block. open gets the directive's words and returns the section that declares the
// directives of the block. A repeatable block may be given more than once.
func (s *Section) Block(name string, repeatable bool, _ string, open func(words []string) (*Section, error)) {
	s.add(&directive{name: name, repeatable: repeatable, openBlock: open})
}

// quote returns a word in the form in which the parser reads it back as the same single word, quoted if necessary.
func quote(word string) string {
	if word != "" && !strings.ContainsAny(word, " \t#\"'\\{}") {
		return word
	}
	if !strings.Contains(word, "'") {
		return "'" + word + "'"
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(word) + `"`
}

func quoteAll(words []string) []string {
	quoted := make([]string, len(words))
	for i, word := range words {
		quoted[i] = quote(word)
	}
	return quoted
}
