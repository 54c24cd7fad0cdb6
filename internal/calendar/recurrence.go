package calendar

import (
	"fmt"
	"time"

	"github.com/teambition/rrule-go"
)

// expandRule returns the occurrences of an interval that recurs by an RFC 5545 recurrence rule,
// or the interval alone if the rule is empty. Each occurrence has the same elapsed duration as
// the first and begins at the same local time, also across daylight saving changes.
//
// The amount of work is bounded for every rule: frequencies higher than hourly are refused,
// and the search ends at the horizon, because it would continue for millennia for a rule that
// matches no day. There are at most limit occurrences. An error wraps ErrMalformed and names
// the field.
func expandRule(start, end time.Time, rule string, horizon time.Time, limit int) ([]Span, error) {
	if start.After(horizon) {
		return nil, malformed("start", "is after the planning horizon, %s", formatDate(horizon))
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
		return nil, malformed("rule", "no occurrence up to the planning horizon, %s", formatDate(horizon))
	case count > 0 && len(spans) < count:
		return nil, malformed("rule", "extends beyond the planning horizon, %s", formatDate(horizon))
	}
	return spans, nil
}

// checkRule returns an error for a rule that is too frequent, does not end within the horizon,
// or has too many occurrences.
func checkRule(opt *rrule.ROption, horizon time.Time, limit int) error {
	switch {
	case opt.Freq > rrule.HOURLY:
		return malformed("rule", "recurs more often than hourly")
	case !opt.Dtstart.IsZero():
		return malformed("rule", "must not contain DTSTART")
	case opt.Count == 0 && opt.Until.IsZero():
		return malformed("rule", "has no end: COUNT or UNTIL is required")
	case opt.Count > 0 && !opt.Until.IsZero():
		return malformed("rule", "has both COUNT and UNTIL")
	case opt.Count > limit:
		return malformed("rule", "more than %d occurrences", limit)
	case opt.Until.After(horizon):
		return malformed("rule", "extends beyond the planning horizon, %s", formatDate(horizon))
	}
	return nil
}

// collectOccurrences returns the first count occurrences, or all if count is 0, each with the
// given duration. It returns an error if there are more than limit or if two overlap.
func collectOccurrences(next rrule.Next, duration time.Duration, count, limit int) ([]Span, error) {
	var spans []Span
	for count == 0 || len(spans) < count {
		start, ok := next()
		if !ok {
			break
		}
		if len(spans) == limit {
			return nil, malformed("rule", "more than %d occurrences", limit)
		}
		s := Span{start.UnixMilli(), start.UnixMilli() + duration.Milliseconds()}
		if n := len(spans); n > 0 && s.From < spans[n-1].To {
			return nil, malformed("rule", "an occurrence begins before the previous one ends")
		}
		spans = append(spans, s)
	}
	return spans, nil
}

// malformed returns an error that wraps ErrMalformed and names the field.
func malformed(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrMalformed, field, fmt.Sprintf(format, args...))
}

// formatDate formats the day of a time, in UTC.
func formatDate(t time.Time) string { return t.UTC().Format(time.DateOnly) }
