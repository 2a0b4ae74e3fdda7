package standalone

import "log"

const (
	// maxChunkEntries is how many entries of a list the loop takes in at once: about a millisecond's work. A complete list of
	// 10,000 others held every request up for 40 ms.
	maxChunkEntries = 500
	// maxBacklogSteps bounds the chunks that wait. Discovery that sends long lists without a pause is waited for then.
	maxBacklogSteps = 200
)

// backlog holds what is to be done in turn with other events, in order. The loop owns it.
type backlog struct {
	steps []func()
}

// closedChannel is always ready.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// ready gives a channel that is ready while something waits.
func (b *backlog) ready() <-chan struct{} {
	if len(b.steps) == 0 {
		return nil
	}
	return closedChannel
}

// next does what has waited longest.
func (b *backlog) next() {
	first := b.steps[0]
	b.steps[0] = nil // so that it can be collected
	b.steps = b.steps[1:]
	if len(b.steps) == 0 {
		b.steps = nil
	}
	first()
}

// add has something done after all that waits: now if nothing does and it is all there is.
func (b *backlog) add(steps ...func()) {
	if len(b.steps) == 0 && len(steps) == 1 {
		steps[0]()
		return
	}
	b.steps = append(b.steps, steps...)
	if len(b.steps) <= maxBacklogSteps {
		return
	}
	log.Printf("discovery: %d parts of its lists wait; they are taken in before anything else", len(b.steps))
	for len(b.steps) > 0 {
		b.next()
	}
}
