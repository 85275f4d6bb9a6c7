package listener

// order is a list of connections in the order in which they were added. The connections hold
// the links, so that a change of phase needs no memory.
type order struct {
	first, last *Conn
	length      int
}

// add adds a connection that is in no list.
func (o *order) add(c *Conn) {
	c.list, c.previous, c.next = o, o.last, nil
	if o.last != nil {
		o.last.next = c
	} else {
		o.first = c
	}
	o.last = c
	o.length++
}

// remove removes a connection from its list, if it is in one.
func (c *Conn) remove() {
	o := c.list
	if o == nil {
		return
	}
	if c.previous != nil {
		c.previous.next = c.next
	} else {
		o.first = c.next
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		o.last = c.previous
	}
	c.list, c.previous, c.next = nil, nil, nil
	o.length--
}
