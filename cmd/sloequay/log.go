package main

import (
	"log"
	"os"
	"time"
)

// logger writes lines to standard error, at most linesMost a second: a log must not be what fills a machine.
type logger struct {
	out     *log.Logger
	lines   int
	dropped int
	since   time.Duration
}

const linesMost = 50

func (l *logger) printf(format string, args ...any) {
	if l.out == nil {
		l.out = log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds|log.LUTC)
	}
	if l.lines++; l.lines > linesMost {
		l.dropped++
		return
	}
	l.out.Printf(format, args...)
}

// tick begins a new second.
func (l *logger) tick(now time.Duration) {
	if now-l.since < time.Second && now >= l.since {
		return
	}
	dropped := l.dropped
	l.since, l.lines, l.dropped = now, 0, 0
	if dropped > 0 {
		l.printf("log-full: %d lines of the last second were left out", dropped)
	}
}
