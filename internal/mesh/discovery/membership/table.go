package membership

import "slices"

// table holds the entries of a view, with an index for each key that they are looked up by.
type table struct {
	entries       []*entry // ordered by incarnation
	byIncarnation map[uint64]*entry
	byAddress     map[string]*entry
	hashOrder     []*entry // the entries, and the one of this process, ordered by compareHash
	arrivals      uint64   // entries ever inserted
}

// newTable returns an empty table. self is the entry of this process, which is in hashOrder only.
func newTable(self *entry) table {
	return table{
		byIncarnation: map[uint64]*entry{},
		byAddress:     map[string]*entry{},
		hashOrder:     []*entry{self},
	}
}

// insert adds an entry whose incarnation isn't in the table.
func (t *table) insert(e *entry) {
	t.arrivals++
	e.arrivalOrder = t.arrivals
	t.byIncarnation[e.Incarnation] = e
	t.byAddress[e.Address] = e
	i, _ := slices.BinarySearchFunc(t.entries, e.Incarnation, compareIncarnation)
	t.entries = slices.Insert(t.entries, i, e)
	i, _ = slices.BinarySearchFunc(t.hashOrder, e, compareHash)
	t.hashOrder = slices.Insert(t.hashOrder, i, e)
}

// remove removes an entry. Another entry that has its address by now stays.
func (t *table) remove(e *entry) {
	delete(t.byIncarnation, e.Incarnation)
	if i, ok := slices.BinarySearchFunc(t.entries, e.Incarnation, compareIncarnation); ok {
		t.entries = slices.Delete(t.entries, i, i+1)
	}
	if i, ok := slices.BinarySearchFunc(t.hashOrder, e, compareHash); ok {
		t.hashOrder = slices.Delete(t.hashOrder, i, i+1)
	}
	if t.byAddress[e.Address] == e {
		delete(t.byAddress, e.Address)
	}
}
