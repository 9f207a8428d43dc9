// Package eventlog writes the operators' log by zap: one event a line, a stable event word and then fields, as text
// (event=endpoint-removed endpoint=c1) or JSON, and at most so many lines a second, with the count of what was left
// out.
package eventlog

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/buffer"
	"go.uber.org/zap/zapcore"
)

// MaxLinesPerSecond is how many lines a second are written: a log must not be what fills a machine.
const MaxLinesPerSecond = 50

// Events is every event word with its level. docs/on-call.md says what each means; a test compares the two.
var Events = map[string]zapcore.Level{
	"started":               zap.InfoLevel,
	"draining":              zap.InfoLevel,
	"drain-deadline":        zap.WarnLevel,
	"stopped":               zap.InfoLevel,
	"reloaded":              zap.InfoLevel,
	"contracts-reloaded":    zap.InfoLevel,
	"team-migration":        zap.WarnLevel,
	"admin-socket-failed":   zap.ErrorLevel,
	"clock-stepped":         zap.ErrorLevel,
	"reload-failed":         zap.ErrorLevel,
	"log-rate-limited":      zap.WarnLevel,
	"endpoint-ejected":      zap.WarnLevel,
	"endpoint-readmitted":   zap.WarnLevel,
	"policy-invalid-action": zap.ErrorLevel,

	"purge-stamp-implausible": zap.WarnLevel,

	"invariant-violated": zap.ErrorLevel,

	"accept-failed":           zap.WarnLevel,
	"client-protocol-error":   zap.WarnLevel,
	"client-bad-request":      zap.WarnLevel,
	"client-connection-limit": zap.WarnLevel,
	"client-message-timeout":  zap.WarnLevel,
	"client-rate-limited":     zap.WarnLevel,
	"client-duplicate-id":     zap.WarnLevel,
	"dns-bad-query":           zap.WarnLevel,
	"dns-encode-failed":       zap.ErrorLevel,
	"dns-signature-rejected":  zap.WarnLevel,

	"upstream-connection-limit":     zap.WarnLevel,
	"upstream-connect-failed":       zap.WarnLevel,
	"upstream-unsolicited-response": zap.WarnLevel,
	"upstream-unresponsive":         zap.WarnLevel,
	"upstream-protocol-error":       zap.WarnLevel,
	"upstream-connection-reset":     zap.WarnLevel,
	"upstream-stats":                zap.InfoLevel,

	"endpoint-list-stale":         zap.ErrorLevel,
	"endpoint-list-resumed":       zap.InfoLevel,
	"endpoint-list-bad-event":     zap.WarnLevel,
	"endpoint-list-event-skipped": zap.ErrorLevel,

	"endpoint-added":           zap.InfoLevel,
	"endpoint-removed":         zap.InfoLevel,
	"endpoint-draining":        zap.InfoLevel,
	"endpoint-moved":           zap.InfoLevel,
	"endpoint-restarted":       zap.InfoLevel,
	"endpoint-recovered":       zap.InfoLevel,
	"endpoint-modified":        zap.InfoLevel,
	"endpoint-suppressed":      zap.WarnLevel,
	"endpoint-released":        zap.InfoLevel,
	"endpoint-renamed":         zap.InfoLevel,
	"endpoint-duplicate-id":    zap.WarnLevel,
	"list-loss-suspected":      zap.ErrorLevel,
	"list-loss-confirmed":      zap.WarnLevel,
	"list-loss-refuted":        zap.WarnLevel,
	"endpoint-limit":           zap.ErrorLevel,
	"endpoint-changes-omitted": zap.InfoLevel,
	"list-notes-omitted":       zap.InfoLevel,
	"snapshot-restored":        zap.WarnLevel,

	"catalogue-unreachable":         zap.ErrorLevel,
	"catalogue-reachable":           zap.InfoLevel,
	"catalogue-agent-changed":       zap.WarnLevel,
	"catalogue-response-rejected":   zap.WarnLevel,
	"catalogue-instance-rejected":   zap.WarnLevel,
	"catalogue-purge-key-rejected":  zap.WarnLevel,
	"catalogue-token-unreadable":    zap.ErrorLevel,
	"catalogue-registered":          zap.InfoLevel,
	"catalogue-deregistered":        zap.InfoLevel,
	"catalogue-registration-failed": zap.WarnLevel,

	"bootstrap":             zap.InfoLevel,
	"peer-joined":           zap.InfoLevel,
	"peer-left":             zap.InfoLevel,
	"peer-rejected":         zap.WarnLevel,
	"peer-transport-failed": zap.ErrorLevel,

	"audit":                zap.WarnLevel,
	"keys-loaded":          zap.InfoLevel,
	"keys-rejected":        zap.ErrorLevel,
	"tls-handshake-failed": zap.WarnLevel,
	"tls-reloaded":         zap.InfoLevel,
	"tls-listener-failed":  zap.ErrorLevel,

	"snapshot-rejected":     zap.WarnLevel,
	"snapshot-write-failed": zap.ErrorLevel,
	"snapshot-loaded":       zap.InfoLevel,
}

// Formats and levels that New takes.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

// Logger writes the log. It is not safe for concurrent use.
type Logger struct {
	zap     *zap.Logger
	lines   int
	dropped int
	since   time.Duration
}

// New makes a logger that writes to output what is at a level or above it.
func New(output io.Writer, format, level string) (*Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zapcore.EncoderConfig{TimeKey: "time", LevelKey: "level", MessageKey: "event",
		EncodeTime:  func(t time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(t.UTC().Format(timeForm)) },
		EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.StringDurationEncoder}
	var encoder zapcore.Encoder
	switch format {
	case "text":
		encoder = textEncoder{zapcore.NewMapObjectEncoder()}
	case "json":
		encoder = zapcore.NewJSONEncoder(cfg)
	default:
		return nil, fmt.Errorf("log format: expected one of %s, got %q", strings.Join(Formats, ", "), format)
	}
	return &Logger{zap: zap.New(zapcore.NewCore(encoder, zapcore.AddSync(output), minLevel))}, nil
}

const timeForm = "2006-01-02T15:04:05.000000Z"

// Event writes a line: a word of Events, then names with values.
func (l *Logger) Event(event string, fields ...any) {
	if l.lines++; l.lines > MaxLinesPerSecond {
		l.dropped++
		return
	}
	level, known := Events[event]
	if !known {
		level = zap.ErrorLevel
	}
	if entry := l.zap.Check(level, event); entry != nil {
		all := make([]zap.Field, 0, len(fields)/2)
		for i := 0; i+1 < len(fields); i += 2 {
			name, _ := fields[i].(string)
			switch v := fields[i+1].(type) {
			case error:
				all = append(all, zap.String(name, v.Error()))
			case time.Duration:
				all = append(all, zap.Duration(name, v))
			case fmt.Stringer:
				all = append(all, zap.String(name, v.String()))
			default:
				all = append(all, zap.Any(name, v))
			}
		}
		entry.Write(all...)
	}
}

// Tick begins a new second.
func (l *Logger) Tick(now time.Duration) {
	if now-l.since < time.Second && now >= l.since {
		return
	}
	dropped := l.dropped
	l.since, l.lines, l.dropped = now, 0, 0
	if dropped > 0 {
		l.Event("log-rate-limited", "lines", dropped)
	}
}

// textEncoder writes time, level and event and then name=value, quoted where it must be.
type textEncoder struct{ *zapcore.MapObjectEncoder }

var pool = buffer.NewPool()

// Clone gives an encoder with no fields of its own: none are ever added.
func (e textEncoder) Clone() zapcore.Encoder { return textEncoder{zapcore.NewMapObjectEncoder()} }

// EncodeEntry writes one line.
func (e textEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	b := pool.Get()
	b.AppendString(entry.Time.UTC().Format(timeForm))
	b.AppendString(" level=")
	b.AppendString(entry.Level.String())
	b.AppendString(" event=")
	b.AppendString(entry.Message)
	for _, f := range fields {
		m := zapcore.NewMapObjectEncoder()
		f.AddTo(m)
		b.AppendByte(' ')
		b.AppendString(f.Key)
		b.AppendByte('=')
		b.AppendString(quote(fmt.Sprint(m.Fields[f.Key])))
	}
	b.AppendByte('\n')
	return b, nil
}

// quote puts what would not be read back as one word in quotes; nothing of what peers send can start a line.
func quote(s string) string {
	plain := s != ""
	for _, r := range s {
		plain = plain && r > ' ' && r != '"' && r != '=' && r != '\\' && strconv.IsPrint(r)
	}
	if plain {
		return s
	}
	return strconv.Quote(s)
}
