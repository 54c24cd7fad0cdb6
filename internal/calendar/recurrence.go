package calendar

import (
	"fmt"
	"time"

	"github.com/teambition/rrule-go"
)

// expandRule computes the occurrences of something that lasts from start to end and recurs by
// a rule of RFC 5545. Each lasts as long as the first, in elapsed time, and begins at the same
// time of day of its zone, across changes of daylight saving.
//
// The work is bounded whatever the rule says: a rule finer than an hour, or one whose search
// would go on for millennia because no day matches, is refused or cut at the horizon. There
// are at most limit occurrences. An error is an ErrMalformed and names the field.
func expandRule(start, end time.Time, rule string, horizon time.Time, limit int) ([]Span, error) {
	if start.After(horizon) {
		return nil, malformed("start", "beyond the horizon, %s", formatDate(horizon))
	}
	if rule == "" {
		return []Span{{start.UnixMilli(), end.UnixMilli()}}, nil
	}
	opt, err := rrule.StrToROptionInLocation(rule, start.Location())
	if err != nil {
		return nil, malformed("rule", "%s", err)
	}
	if err := checkRule(opt, horizon, limit); err != nil {
		return nil, err
	}
	count := opt.Count
	opt.Dtstart = start
	opt.Count = 0
	if opt.Until.IsZero() {
		opt.Until = horizon
	}
	r, err := rrule.NewRRule(*opt)
	if err != nil {
		return nil, malformed("rule", "%s", err)
	}
	spans, err := collectOccurrences(r.Iterator(), end.Sub(start), count, limit)
	switch {
	case err != nil:
		return nil, err
	case len(spans) == 0:
		return nil, malformed("rule", "no occurrence before the horizon, %s", formatDate(horizon))
	case count > 0 && len(spans) < count:
		return nil, malformed("rule", "goes beyond the horizon, %s", formatDate(horizon))
	}
	return spans, nil
}

// checkRule refuses a rule that is too fine, has no end, or has too many occurrences.
func checkRule(opt *rrule.ROption, horizon time.Time, limit int) error {
	switch {
	case opt.Freq > rrule.HOURLY:
		return malformed("rule", "finer than an hour")
	case !opt.Dtstart.IsZero():
		return malformed("rule", "has a start of its own")
	case opt.Count == 0 && opt.Until.IsZero():
		return malformed("rule", "has no end: give COUNT or UNTIL")
	case opt.Count > 0 && !opt.Until.IsZero():
		return malformed("rule", "has both COUNT and UNTIL")
	case opt.Count > limit:
		return malformed("rule", "more than %d occurrences", limit)
	case opt.Until.After(horizon):
		return malformed("rule", "goes beyond the horizon, %s", formatDate(horizon))
	}
	return nil
}

// collectOccurrences collects count occurrences of a length (0: all), and refuses more than
// limit of them, and some that overlap.
func collectOccurrences(next rrule.Next, length time.Duration, count, limit int) ([]Span, error) {
	var spans []Span
	for count == 0 || len(spans) < count {
		start, ok := next()
		if !ok {
			break
		}
		if len(spans) == limit {
			return nil, malformed("rule", "more than %d occurrences", limit)
		}
		s := Span{start.UnixMilli(), start.UnixMilli() + length.Milliseconds()}
		if n := len(spans); n > 0 && s.From < spans[n-1].To {
			return nil, malformed("rule", "an occurrence begins before the one before it ends")
		}
		spans = append(spans, s)
	}
	return spans, nil
}

// malformed is an ErrMalformed that names a field.
func malformed(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrMalformed, field, fmt.Sprintf(format, args...))
}

// formatDate formats the day of a time, in UTC.
func formatDate(t time.Time) string { return t.UTC().Format(time.DateOnly) }
