package calendar

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestParseReservation checks that an invalid reservation is refused with an error that names
// the field, and that rules which would need unbounded work are refused.
func TestParseReservation(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string
	}{
		{"a valid reservation is accepted", nil, ""},
		{"an end before the start is refused", map[string]any{"end": "2026-03-10T19:00:00"}, "end: is not after the start"},
		{"an end in the past is refused", map[string]any{"start": "2026-02-10T20:00:00", "end": "2026-02-10T21:00:00"}, "end: is not in the future"},
		{"a start that is not a time is refused", map[string]any{"start": "tomorrow"}, "start: "},
		{"an unknown time zone is refused", map[string]any{"time_zone": "Mars/Base"}, "time_zone: \"Mars/Base\" is not an IANA time zone"},
		{"a rule without an end is refused", map[string]any{"rule": "FREQ=DAILY"}, "rule: has no end"},
		{"a rule with a million occurrences is refused", map[string]any{"rule": "FREQ=DAILY;COUNT=1000000"}, "rule: more than 200"},
		{"a rule that recurs every second is refused", map[string]any{"rule": "FREQ=SECONDLY;COUNT=5"}, "rule: recurs more often than hourly"},
		{"a rule that matches no day is refused", map[string]any{"rule": "FREQ=HOURLY;BYMONTH=2;BYMONTHDAY=30;COUNT=5"}, "rule: no occurrence up to the planning horizon"},
		{"a rule whose count extends beyond the planning horizon is refused", map[string]any{"rule": "FREQ=MONTHLY;COUNT=12"}, "rule: extends beyond the planning horizon"},
		{"a rule that ends after the planning horizon is refused", map[string]any{"rule": "FREQ=MONTHLY;UNTIL=20300101T000000Z"}, "rule: extends beyond the planning horizon"},
		{"a rule with both COUNT and UNTIL is refused", map[string]any{"rule": "FREQ=DAILY;COUNT=2;UNTIL=20260320T000000Z"}, "rule: has both COUNT and UNTIL"},
		{"a rule whose occurrences overlap is refused", map[string]any{"end": "2026-03-12T20:00:00", "rule": "FREQ=DAILY;COUNT=3"}, "rule: an occurrence begins before the previous one ends"},
		{"a rule that cannot be parsed is refused", map[string]any{"rule": "EVERY EVENING"}, "rule: "},
		{"a reservation without memory is refused", map[string]any{"mem_gb": nil}, "mem_gb: "},
		{"a reservation without parts is refused", map[string]any{"parts": 0}, "parts: "},
		{"an unknown field is refused", map[string]any{"colour": "red"}, "colour: unknown field"},
		{"a reservation that is both spread and in one zone is refused", map[string]any{"apart": true, "same_place": true}, "apart: cannot be combined with same_place"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseReservation(encodeReservation(t, tt.doc), testLimits, testNow)
			switch {
			case tt.want == "" && err != nil:
				t.Errorf("got error %v, want the reservation to be accepted", err)
			case tt.want != "" && (!errors.Is(err, ErrMalformed) || !strings.Contains(fmt.Sprint(err), tt.want)):
				t.Errorf("got error %v, want an ErrMalformed with %q", err, tt.want)
			}
		})
	}
}

// TestOccurrences checks that the occurrences of a rule begin at the same local time across
// daylight saving changes and have the same elapsed duration.
func TestOccurrences(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string // starts and ends in UTC
	}{
		{"a daily reservation keeps its local time when daylight saving begins", map[string]any{"start": "2026-03-28T20:00:00", "end": "2026-03-28T21:00:00", "time_zone": "Europe/Berlin", "rule": "FREQ=DAILY;COUNT=2"},
			"03-28T19:00-20:00 03-29T18:00-19:00"},
		{"an occurrence whose local time is skipped starts one hour later in local time", map[string]any{"start": "2026-03-28T02:30:00", "end": "2026-03-28T03:30:00", "time_zone": "Europe/Berlin", "rule": "FREQ=DAILY;COUNT=3"},
			"03-28T01:30-02:30 03-29T01:30-02:30 03-30T00:30-01:30"},
		{"a weekly rule recurs on its weekdays until its end", map[string]any{"rule": "FREQ=WEEKLY;BYDAY=TU,TH;UNTIL=20260318T000000Z"}, "03-10T20:00-21:00 03-12T20:00-21:00 03-17T20:00-21:00"},
		{"a start with a UTC offset is converted to UTC", map[string]any{"start": "2026-03-10T20:00:00+02:00", "end": "2026-03-10T21:00:00+02:00"}, "03-10T18:00-19:00"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var occurrences []string
			for _, s := range parseReservation(t, tt.doc).Spans() {
				occurrences = append(occurrences, time.UnixMilli(s.From).UTC().Format("01-02T15:04")+"-"+time.UnixMilli(s.To).UTC().Format("15:04"))
			}
			if got := strings.Join(occurrences, " "); got != tt.want {
				t.Errorf("got occurrences %q, want %q", got, tt.want)
			}
		})
	}
}

// TestWindowCovers checks which machines a window selects by zone, type, name and address.
func TestWindowCovers(t *testing.T) {
	tests := []struct {
		name string
		doc  map[string]any
		want string // out of h1 (10.0.1.5, small/a), h2 (10.0.2.5, small/b), h3 (10.0.1.9, large/a)
	}{
		{"a window for a zone covers all machines of the zone", map[string]any{"yard": "a"}, "h1 h3"},
		{"a window for a type in a zone covers the machines of both", map[string]any{"yard": "a", "build": "small"}, "h1"},
		{"a window for host names covers the named machines", map[string]any{"hosts": []string{"h2", "h9"}}, "h2"},
		{"a window for an address range covers the machines with addresses in it", map[string]any{"range": []string{"10.0.1.0/29"}}, "h1"},
		{"a window for an address range and a host name covers the machines of either", map[string]any{"range": []string{"10.0.2.0/24"}, "hosts": []string{"h3"}}, "h2 h3"},
		{"a window for an address range in a zone covers the machines of both", map[string]any{"range": []string{"10.0.0.0/16"}, "yard": "b"}, "h2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := parseWindow(t, tt.doc)
			var covered []string
			for _, machine := range [][4]string{{"h1", "10.0.1.5:9000", "small", "a"}, {"h2", "10.0.2.5:9000", "small", "b"}, {"h3", "10.0.1.9:9000", "large", "a"}} {
				if w.Covers(machine[0], machine[1], machine[2], machine[3]) {
					covered = append(covered, machine[0])
				}
			}
			if got := strings.Join(covered, " "); got != tt.want {
				t.Errorf("window covers %q, want %q", got, tt.want)
			}
		})
	}
}
