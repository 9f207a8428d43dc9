// Package eventlog writes the operators' event log with zap, as text or JSON. Each line holds one event: its stable
// name and then fields, in text such as event=endpoint-removed endpoint=c1. The number of lines per second is limited,
// and the number of dropped lines is logged.
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

// MaxLinesPerSecond limits the lines that are written, so that the log cannot use up the machine's storage.
const MaxLinesPerSecond = 50

// Events maps the name of every event to its level. docs/on-call.md describes the events; a test compares the names.
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
	"client-not-reading":      zap.WarnLevel,
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
	"memory-short":                  zap.WarnLevel,
	"connection-excess-input":       zap.WarnLevel,

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

	"bootstrap":               zap.InfoLevel,
	"peer-joined":             zap.InfoLevel,
	"peer-left":               zap.InfoLevel,
	"peer-rejected":           zap.WarnLevel,
	"peer-endpoints-rejected": zap.WarnLevel,
	"peer-transport-failed":   zap.ErrorLevel,

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

// The formats and levels that New accepts.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

// Logger writes the log. It is not safe for concurrent use.
type Logger struct {
	zap           *zap.Logger
	linesInSecond int
	dropped       int
	secondStart   time.Duration
}

// New returns a logger that writes the events of at least the given level to output.
func New(output io.Writer, format, level string) (*Logger, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zapcore.EncoderConfig{TimeKey: "time", LevelKey: "level", MessageKey: "event",
		EncodeTime:  func(t time.Time, e zapcore.PrimitiveArrayEncoder) { e.AppendString(t.UTC().Format(timeLayout)) },
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

const timeLayout = "2006-01-02T15:04:05.000000Z"

// Event writes one line: the name of an event in Events, and fields, which are alternating names and values. An unknown
// event is logged as an error.
func (l *Logger) Event(event string, fields ...any) {
	if l.linesInSecond++; l.linesInSecond > MaxLinesPerSecond {
		l.dropped++
		return
	}
	level, known := Events[event]
	if !known {
		level = zap.ErrorLevel
	}
	if entry := l.zap.Check(level, event); entry != nil {
		zapFields := make([]zap.Field, 0, len(fields)/2)
		for i := 0; i+1 < len(fields); i += 2 {
			name, _ := fields[i].(string)
			switch v := fields[i+1].(type) {
			case error:
				zapFields = append(zapFields, zap.String(name, v.Error()))
			case time.Duration:
				zapFields = append(zapFields, zap.Duration(name, v))
			case fmt.Stringer:
				zapFields = append(zapFields, zap.String(name, v.String()))
			default:
				zapFields = append(zapFields, zap.Any(name, v))
			}
		}
		entry.Write(zapFields...)
	}
}

// Tick starts a new count of lines once a second has passed or the clock went back, and logs how many were dropped.
func (l *Logger) Tick(now time.Duration) {
	if now-l.secondStart < time.Second && now >= l.secondStart {
		return
	}
	dropped := l.dropped
	l.secondStart, l.linesInSecond, l.dropped = now, 0, 0
	if dropped > 0 {
		l.Event("log-rate-limited", "lines", dropped)
	}
}

// textEncoder encodes an entry as its time, level and event, followed by name=value fields, quoted if necessary.
type textEncoder struct{ *zapcore.MapObjectEncoder }

var bufferPool = buffer.NewPool()

// Clone returns an encoder without fields, because no context fields are ever added.
func (e textEncoder) Clone() zapcore.Encoder { return textEncoder{zapcore.NewMapObjectEncoder()} }

// EncodeEntry returns an entry as one line.
func (e textEncoder) EncodeEntry(entry zapcore.Entry, fields []zapcore.Field) (*buffer.Buffer, error) {
	b := bufferPool.Get()
	b.AppendString(entry.Time.UTC().Format(timeLayout))
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

// quote returns a value in quotes unless it is one plain word. Line breaks are escaped, so that no text from a peer can
// forge a line of the log.
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
