package standalone

import "log"

const (
	// partMost is how many entries of a list the loop takes in at once: about a millisecond's work. A whole list of
	// 10,000 others held every request up for 40 ms.
	partMost = 500
	// backlogMost bounds the parts that wait. Discovery that sends long lists without a pause is waited for then.
	backlogMost = 200
)

// backlog holds what is to be done in turn with other events, in order. The loop owns it.
type backlog struct {
	rest []func()
}

// always is ready.
var always = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// ready gives a channel that is ready while something waits.
func (b *backlog) ready() <-chan struct{} {
	if len(b.rest) == 0 {
		return nil
	}
	return always
}

// next does what waits longest.
func (b *backlog) next() {
	first := b.rest[0]
	b.rest[0] = nil // let go of it
	if b.rest = b.rest[1:]; len(b.rest) == 0 {
		b.rest = nil
	}
	first()
}

// add has something done after all that waits: now if nothing does and it is all there is.
func (b *backlog) add(steps ...func()) {
	if len(b.rest) == 0 && len(steps) == 1 {
		steps[0]()
		return
	}
	b.rest = append(b.rest, steps...)
	if len(b.rest) <= backlogMost {
		return
	}
	log.Printf("discovery: %d parts of its lists wait; they are taken in before anything else", len(b.rest))
	for len(b.rest) > 0 {
		b.next()
	}
}
