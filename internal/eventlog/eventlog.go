// Package eventlog writes the operators' log by zap: one event a line, a stable event word and then fields, as text
// (event=box-left box=c1) or JSON, and at most so many lines a second, with the count of what was left out.
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
	"started": zap.InfoLevel, "leaving": zap.InfoLevel, "leaving-cut": zap.WarnLevel, "left": zap.InfoLevel, "reloaded": zap.InfoLevel, "contracts-renewed": zap.InfoLevel, "team-moved": zap.WarnLevel, "control-failed": zap.ErrorLevel, "clock-stepped": zap.ErrorLevel,
	"reload-failed": zap.ErrorLevel, "log-full": zap.WarnLevel, "module": zap.WarnLevel, "module-unknown": zap.ErrorLevel,

	"client-frame": zap.WarnLevel, "client-request": zap.WarnLevel, "client-limit": zap.WarnLevel,
	"client-half": zap.WarnLevel, "client-paced": zap.WarnLevel, "client-id": zap.WarnLevel, "dns-query": zap.WarnLevel, "dns-pack": zap.ErrorLevel,
	"dns-signature": zap.WarnLevel,

	"depot-crowded": zap.WarnLevel, "depot-dial": zap.WarnLevel, "depot-stray": zap.WarnLevel,
	"depot-silent": zap.WarnLevel, "depot-garbled": zap.WarnLevel, "depot-broken": zap.WarnLevel, "depot-tally": zap.InfoLevel,

	"bulletin-lost": zap.ErrorLevel, "bulletin-back": zap.InfoLevel, "bulletin-line": zap.WarnLevel,
	"bulletin-skipped": zap.ErrorLevel,

	"box-added": zap.InfoLevel, "box-left": zap.InfoLevel, "box-drains": zap.InfoLevel, "box-moved": zap.InfoLevel,
	"box-restarted": zap.InfoLevel, "box-back": zap.InfoLevel, "box-altered": zap.InfoLevel, "box-held": zap.WarnLevel,
	"box-released": zap.InfoLevel, "box-renamed": zap.InfoLevel, "box-named-twice": zap.WarnLevel,
	"list-doubted": zap.ErrorLevel, "list-confirmed": zap.WarnLevel, "list-refuted": zap.WarnLevel,
	"list-full": zap.ErrorLevel, "list-changed": zap.InfoLevel, "list-notes": zap.InfoLevel, "list-restored": zap.WarnLevel,

	"catalogue-lost": zap.ErrorLevel, "catalogue-back": zap.InfoLevel, "catalogue-agent": zap.WarnLevel,
	"catalogue-answer": zap.WarnLevel, "catalogue-entry": zap.WarnLevel, "catalogue-key": zap.WarnLevel,
	"catalogue-token": zap.ErrorLevel, "catalogue-registered": zap.InfoLevel, "catalogue-unregistered": zap.InfoLevel,
	"catalogue-register": zap.WarnLevel,

	"fleet": zap.InfoLevel, "peer-lives": zap.InfoLevel, "peer-gone": zap.InfoLevel, "peer-refused": zap.WarnLevel, "peers-failed": zap.ErrorLevel,

	"audit": zap.WarnLevel, "keys-read": zap.InfoLevel, "keys-refused": zap.ErrorLevel,
	"tls-handshake": zap.WarnLevel, "tls-renewed": zap.InfoLevel, "tls-failed": zap.ErrorLevel,

	"snapshot-refused": zap.WarnLevel, "snapshot-failed": zap.ErrorLevel, "snapshot-read": zap.InfoLevel,
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

// New makes a logger that writes to w what is at a level or above it.
func New(w io.Writer, format, level string) (*Logger, error) {
	least, err := zapcore.ParseLevel(level)
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
	return &Logger{zap: zap.New(zapcore.NewCore(encoder, zapcore.AddSync(w), least))}, nil
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
		l.Event("log-full", "lines", dropped)
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
