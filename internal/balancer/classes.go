package balancer

import "fmt"

// This file adds classes of request while a Balancer runs; it decides nothing.

// AddClass adds a class of request to those of Settings, and gives its index for Request.Class; requests of the others
// go on as they are. It returns an error, and changes nothing, where New would refuse the class.
func (b *Balancer) AddClass(c Class) (int, error) {
	key := fmt.Sprintf("classes[%d].", len(b.classes))
	if err := c.checkEnums(key); err != nil {
		return 0, err
	}
	if err := checkMinimums(c.minimums(key)); err != nil {
		return 0, err
	}
	return b.addClass(c), nil
}

func (b *Balancer) addClass(c Class) int {
	b.classes = append(b.classes, &class{Class: c, tailRatio: initialTailRatio})
	return len(b.classes) - 1
}
