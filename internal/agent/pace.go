package agent

import "time"

// treePace paces the regular reports and summaries of a node in the tree of nodes. A
// full summary of many replicas takes more than a second at the rate limit. In between,
// the root sends partial ones, so that the other nodes hear that it lives and that the
// configuration is confirmed. They would otherwise read the store themselves.
type treePace struct {
	// nextFullAt is when the bytes sent so far admit the next full update.
	nextFullAt time.Time
}

// add records an update of the given size, sent at the time now.
func (p *treePace) add(bytes int, isPartial bool, now time.Time) {
	if isPartial {
		p.nextFullAt = p.nextFullAt.Add(durationAtRate(bytes, treeBytesPerSecond))
		return
	}
	p.nextFullAt = now.Add(max(treeInterval, durationAtRate(bytes, treeBytesPerSecond)))
}

// delay returns the time from now until the next regular update.
func (p *treePace) delay(isRoot bool, now time.Time) time.Duration {
	untilFull := p.nextFullAt.Sub(now)
	if isRoot {
		return min(untilFull, heartbeatInterval)
	}
	return untilFull
}
