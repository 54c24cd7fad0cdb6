package calendar

import (
	"fmt"
	"time"

	"github.com/teambition/rrule-go"
)

// occurrences are the times of something that lasts from start to end and recurs
// by a rule of RFC 5545. Each lasts as long as the first, in elapsed time, and
// begins at the same time of day of its zone, across changes of daylight saving.
//
// The work is bounded whatever the rule says: a rule finer than an hour, or one
// whose search would go on for millennia because no day matches, is refused or cut
// at the horizon.
func occurrences(start, end time.Time, rule string, horizon time.Time, most int) ([]Span, error) {
	bad := func(field, format string, a ...any) error {
		return fmt.Errorf("%w: %s: %s", ErrMalformed, field, fmt.Sprintf(format, a...))
	}
	lasts := end.Sub(start).Milliseconds()
	if start.After(horizon) {
		return nil, bad("start", "beyond the horizon, %s", horizon.UTC().Format(time.DateOnly))
	}
	if rule == "" {
		return []Span{{start.UnixMilli(), end.UnixMilli()}}, nil
	}
	opt, err := rrule.StrToROptionInLocation(rule, start.Location())
	if err != nil {
		return nil, bad("rule", "%s", err)
	}
	switch {
	case opt.Freq > rrule.HOURLY:
		return nil, bad("rule", "finer than an hour")
	case !opt.Dtstart.IsZero():
		return nil, bad("rule", "has a start of its own")
	case opt.Count == 0 && opt.Until.IsZero():
		return nil, bad("rule", "has no end: give COUNT or UNTIL")
	case opt.Count > 0 && !opt.Until.IsZero():
		return nil, bad("rule", "has both COUNT and UNTIL")
	case opt.Count > most:
		return nil, bad("rule", "more than %d occurrences", most)
	case opt.Until.After(horizon):
		return nil, bad("rule", "goes beyond the horizon, %s", horizon.UTC().Format(time.DateOnly))
	}
	count := opt.Count
	opt.Dtstart, opt.Count = start, 0
	if opt.Until.IsZero() {
		opt.Until = horizon
	}
	r, err := rrule.NewRRule(*opt)
	if err != nil {
		return nil, bad("rule", "%s", err)
	}
	var out []Span
	for next := r.Iterator(); count == 0 || len(out) < count; {
		t, ok := next()
		if !ok {
			break
		}
		if len(out) == most {
			return nil, bad("rule", "more than %d occurrences", most)
		}
		s := Span{t.UnixMilli(), t.UnixMilli() + lasts}
		if n := len(out); n > 0 && s.From < out[n-1].To {
			return nil, bad("rule", "an occurrence begins before the one before it ends")
		}
		out = append(out, s)
	}
	switch {
	case len(out) == 0:
		return nil, bad("rule", "no occurrence before the horizon, %s", horizon.UTC().Format(time.DateOnly))
	case count > 0 && len(out) < count:
		return nil, bad("rule", "goes beyond the horizon, %s", horizon.UTC().Format(time.DateOnly))
	}
	return out, nil
}
