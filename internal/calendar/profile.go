package calendar

import "slices"

// profile is a level over time, as a step function: levels[i] holds from starts[i] to
// starts[i+1], the last one for ever, and 0 before the first.
type profile struct {
	starts []int64
	levels []float64
}

// levelTolerance is the difference below which two levels count as equal: they are sums of
// floating-point numbers.
const levelTolerance = 1e-9

// splitAt makes a step begin at t and returns its index.
func (p *profile) splitAt(t int64) int {
	i, found := slices.BinarySearch(p.starts, t)
	if found {
		return i
	}
	p.starts = slices.Insert(p.starts, i, t)
	p.levels = slices.Insert(p.levels, i, p.levelBefore(i))
	return i
}

// levelBefore is the level levelBefore step i.
func (p *profile) levelBefore(i int) float64 {
	if i == 0 {
		return 0
	}
	return p.levels[i-1]
}

// add raises the level over a span.
func (p *profile) add(s Span, amount float64) {
	from := p.splitAt(s.From)
	to := p.splitAt(s.To)
	for i := from; i < to; i++ {
		p.levels[i] += amount
	}
	// Steps between equal levels are removed: cancelled entries must leave nothing behind.
	for i := min(to, len(p.starts)-1); i >= max(0, from); i-- {
		if d := p.levels[i] - p.levelBefore(i); d < levelTolerance && d > -levelTolerance {
			p.starts = slices.Delete(p.starts, i, i+1)
			p.levels = slices.Delete(p.levels, i, i+1)
		}
	}
}

// forEach calls f for each part of a span with its level, until f returns false.
func (p *profile) forEach(s Span, f func(Span, float64) bool) {
	i, found := slices.BinarySearch(p.starts, s.From)
	if !found {
		i--
	}
	for from := s.From; from < s.To; i++ {
		level, to := 0.0, s.To
		if i >= 0 && i < len(p.levels) {
			level = p.levels[i]
		}
		if i+1 < len(p.starts) {
			to = min(to, p.starts[i+1])
		}
		if !f(Span{from, to}, level) {
			return
		}
		from = to
	}
}

// max is the highest level over a span.
func (p *profile) max(s Span) float64 {
	highest := 0.0
	first := true
	p.forEach(s, func(_ Span, level float64) bool {
		if first || level > highest {
			highest = level
			first = false
		}
		return true
	})
	return highest
}

// decreasesAfter are the times after t at which the level decreases, at most n of them.
func (p *profile) decreasesAfter(t int64, n int) (times []int64) {
	i, _ := slices.BinarySearch(p.starts, t+1)
	for ; i < len(p.starts) && len(times) < n; i++ {
		if i > 0 && p.levels[i] < p.levels[i-1] {
			times = append(times, p.starts[i])
		}
	}
	return times
}
