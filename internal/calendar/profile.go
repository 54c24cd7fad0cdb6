package calendar

import "slices"

// profile is a step function of time. levels[i] is the level from starts[i] until starts[i+1];
// the last level has no end, and the level before starts[0] is 0.
type profile struct {
	starts []int64
	levels []float64
}

// levelTolerance is the difference below which two levels are considered equal, because they
// are floating-point sums.
const levelTolerance = 1e-9

// splitAt ensures that a step begins at t and returns the index of that step.
func (p *profile) splitAt(t int64) int {
	i, found := slices.BinarySearch(p.starts, t)
	if found {
		return i
	}
	p.starts = slices.Insert(p.starts, i, t)
	p.levels = slices.Insert(p.levels, i, p.levelBefore(i))
	return i
}

// levelBefore returns the level before step i.
func (p *profile) levelBefore(i int) float64 {
	if i == 0 {
		return 0
	}
	return p.levels[i-1]
}

// add adds an amount to the level over a span.
func (p *profile) add(s Span, amount float64) {
	from := p.splitAt(s.From)
	to := p.splitAt(s.To)
	for i := from; i < to; i++ {
		p.levels[i] += amount
	}
	// Remove steps between equal levels, so that cancelled entries do not use memory.
	for i := min(to, len(p.starts)-1); i >= max(0, from); i-- {
		if diff := p.levels[i] - p.levelBefore(i); diff < levelTolerance && diff > -levelTolerance {
			p.starts = slices.Delete(p.starts, i, i+1)
			p.levels = slices.Delete(p.levels, i, i+1)
		}
	}
}

// forEach calls f for each part of a span that has one level, in order, until f returns false.
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

// max returns the highest level over a span.
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

// decreasesAfter returns the first times after t at which the level decreases, at most limit
// of them.
func (p *profile) decreasesAfter(t int64, limit int) (times []int64) {
	i, _ := slices.BinarySearch(p.starts, t+1)
	for ; i < len(p.starts) && len(times) < limit; i++ {
		if i > 0 && p.levels[i] < p.levels[i-1] {
			times = append(times, p.starts[i])
		}
	}
	return times
}
