package standalone

import "log"

const (
	// maxChunkEntries is how many entries of a list the loop applies at once, which takes about a millisecond. Without chunks a
	// complete list of 10,000 new endpoints delayed every request by 40 ms.
	maxChunkEntries = 500
	// maxBacklogSteps bounds the chunks that wait. Beyond it all of them are applied before other events, which slows discovery down.
	maxBacklogSteps = 200
)

// backlog is a queue of steps that the loop runs one by one, with other events in between. The loop owns it.
type backlog struct {
	steps []func() // the oldest first
}

// closedChannel is always ready to receive from.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// ready returns a channel that can be received from while a step waits; nil, which blocks, while none does.
func (b *backlog) ready() <-chan struct{} {
	if len(b.steps) == 0 {
		return nil
	}
	return closedChannel
}

// next runs the oldest step.
func (b *backlog) next() {
	first := b.steps[0]
	b.steps[0] = nil // so that it can be garbage collected
	b.steps = b.steps[1:]
	if len(b.steps) == 0 {
		b.steps = nil
	}
	first()
}

// add appends steps. A single step runs at once if none waits.
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
