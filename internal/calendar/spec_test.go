package calendar

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestParseReservation: bad input is refused with the field's name, and the work that a
// rule asks for is bounded.
func TestParseReservation(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string
	}{
		{"sound", nil, ""},
		{"an end before its start", map[string]any{"end": "2026-03-10T19:00:00"}, "end: is not after the start"},
		{"over already", map[string]any{"start": "2026-02-10T20:00:00", "end": "2026-02-10T21:00:00"}, "end: is not in the future"},
		{"no time", map[string]any{"start": "tomorrow"}, "start: "},
		{"an unknown zone", map[string]any{"time_zone": "Mars/Base"}, "time_zone: \"Mars/Base\" is not an IANA time zone"},
		{"no end", map[string]any{"rule": "FREQ=DAILY"}, "rule: has no end"},
		{"a million occurrences", map[string]any{"rule": "FREQ=DAILY;COUNT=1000000"}, "rule: more than 200"},
		{"every second", map[string]any{"rule": "FREQ=SECONDLY;COUNT=5"}, "rule: recurs more often than hourly"},
		{"a day that never comes", map[string]any{"rule": "FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30;COUNT=5"}, "rule: no occurrence up to the planning horizon"},
		{"beyond the horizon", map[string]any{"rule": "FREQ=MONTHLY;COUNT=12"}, "rule: extends beyond the planning horizon"},
		{"until beyond the horizon", map[string]any{"rule": "FREQ=MONTHLY;UNTIL=20300101T000000Z"}, "rule: extends beyond the planning horizon"},
		{"count and until", map[string]any{"rule": "FREQ=DAILY;COUNT=2;UNTIL=20260320T000000Z"}, "rule: has both COUNT and UNTIL"},
		{"overlaps itself", map[string]any{"end": "2026-03-12T20:00:00", "rule": "FREQ=DAILY;COUNT=3"}, "rule: an occurrence begins before the previous one ends"},
		{"nonsense for a rule", map[string]any{"rule": "EVERY EVENING"}, "rule: "},
		{"no memory", map[string]any{"mem_gb": nil}, "mem_gb: "},
		{"no part", map[string]any{"parts": 0}, "parts: "},
		{"an unknown field", map[string]any{"colour": "red"}, "colour: unknown field"},
		{"apart in one place", map[string]any{"apart": true, "same_place": true}, "apart: cannot be combined with same_place"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseReservation(encodeReservation(t, tt.doc), testLimits, testNow)
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("refused: %v", err)
			case tt.want != "" && (!errors.Is(err, ErrMalformed) || !strings.Contains(fmt.Sprint(err), tt.want)):
				t.Errorf("got %v, want %q", err, tt.want)
			}
		})
	}
}

// TestOccurrences: a slot has the same time of day across changes of daylight saving,
// and its length in elapsed time.
func TestOccurrences(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string // starts and ends, UTC
	}{
		{"the bulletin over the change in spring", map[string]any{"start": "2026-03-28T20:00:00", "end": "2026-03-28T21:00:00", "time_zone": "Europe/Berlin", "rule": "FREQ=DAILY;COUNT=2"},
			"03-28T19:00-20:00 03-29T18:00-19:00"},
		{"a time of day that is skipped", map[string]any{"start": "2026-03-28T02:30:00", "end": "2026-03-28T03:30:00", "time_zone": "Europe/Berlin", "rule": "FREQ=DAILY;COUNT=3"},
			"03-28T01:30-02:30 03-29T01:30-02:30 03-30T00:30-01:30"},
		{"weekdays until a day", map[string]any{"rule": "FREQ=WEEKLY;BYDAY=TU,TH;UNTIL=20260318T000000Z"}, "03-10T20:00-21:00 03-12T20:00-21:00 03-17T20:00-21:00"},
		{"an offset of its own", map[string]any{"start": "2026-03-10T20:00:00+02:00", "end": "2026-03-10T21:00:00+02:00"}, "03-10T18:00-19:00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, s := range parseReservation(t, tt.doc).Spans() {
				got = append(got, time.UnixMilli(s.From).UTC().Format("01-02T15:04")+"-"+time.UnixMilli(s.To).UTC().Format("15:04"))
			}
			if s := strings.Join(got, " "); s != tt.want {
				t.Errorf("got %s, want %s", s, tt.want)
			}
		})
	}
}

// TestWindowCovers: which machines a window is about.
func TestWindowCovers(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string // of h1 10.0.1.5 small/a, h2 10.0.2.5 small/b, h3 10.0.1.9 large/a
	}{
		{"a zone", map[string]any{"yard": "a"}, "h1 h3"},
		{"a type in a zone", map[string]any{"yard": "a", "build": "small"}, "h1"},
		{"by name", map[string]any{"hosts": []string{"h2", "h9"}}, "h2"},
		{"a range", map[string]any{"range": []string{"10.0.1.0/29"}}, "h1"},
		{"a range and a name", map[string]any{"range": []string{"10.0.2.0/24"}, "hosts": []string{"h3"}}, "h2 h3"},
		{"a range in a zone", map[string]any{"range": []string{"10.0.0.0/16"}, "yard": "b"}, "h2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := parseWindow(t, tt.doc)
			var got []string
			for _, h := range [][4]string{{"h1", "10.0.1.5:9000", "small", "a"}, {"h2", "10.0.2.5:9000", "small", "b"}, {"h3", "10.0.1.9:9000", "large", "a"}} {
				if w.Covers(h[0], h[1], h[2], h[3]) {
					got = append(got, h[0])
				}
			}
			if s := strings.Join(got, " "); s != tt.want {
				t.Errorf("got %s, want %s", s, tt.want)
			}
		})
	}
}
