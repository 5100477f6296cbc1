package caller

import "time"

const (
	// progressWindow is the time over which progress is measured.
	progressWindow = time.Second
	// minProgress is the number of bytes per window below which a body is stalled.
	minProgress = 16 << 10
)

// progress measures the bytes that arrived in the last one to two windows.
type progress struct {
	start             time.Time
	previous, current int
}

func (p *progress) add(now time.Time, n int) {
	p.roll(now)
	p.current += n
}

// isStalled reports whether less than minProgress arrived lately.
func (p *progress) isStalled(now time.Time) bool {
	p.roll(now)
	return p.previous+p.current < minProgress
}

func (p *progress) roll(now time.Time) {
	switch age := now.Sub(p.start); {
	case age < progressWindow:
		return
	case age < 2*progressWindow:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.start, p.current = now, 0
}
