package balancer

import "fmt"

// This file adds classes of request while a Balancer runs; it decides nothing.

// AddClass adds a class of request to those of Settings, and gives its index for Request.Class; requests of the others
// go on as they are. It returns an error, and changes nothing, where New would refuse the class.
func (b *Balancer) AddClass(c Class) (int, error) {
	key := fmt.Sprintf("classes[%d].", len(b.classes))
	if err := c.checkNames(key); err != nil {
		return 0, err
	}
	if err := checkFigures(c.figures(key)); err != nil {
		return 0, err
	}
	return b.addClass(c), nil
}

func (b *Balancer) addClass(c Class) int {
	b.classes = append(b.classes, &class{Class: c, tail: tailStart})
	return len(b.classes) - 1
}
