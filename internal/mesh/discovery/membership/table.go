package membership

import "slices"

// table holds the entries of a view, with an index for each lookup key.
type table struct {
	entries       []*entry // ordered by incarnation
	byIncarnation map[uint64]*entry
	byAddress     map[string]*entry
	hashOrder     []*entry // entries and the entry of this process, ordered by compareHash
	insertions    uint64   // number of insertions so far
}

// newTable returns an empty table. self is the entry of this process; only hashOrder contains it.
func newTable(self *entry) table {
	return table{
		byIncarnation: map[uint64]*entry{},
		byAddress:     map[string]*entry{},
		hashOrder:     []*entry{self},
	}
}

// insert adds an entry. Its incarnation must not be in the table yet.
func (t *table) insert(e *entry) {
	t.insertions++
	e.insertionOrder = t.insertions
	t.byIncarnation[e.Incarnation] = e
	t.byAddress[e.Address] = e
	i, _ := slices.BinarySearchFunc(t.entries, e.Incarnation, compareIncarnation)
	t.entries = slices.Insert(t.entries, i, e)
	i, _ = slices.BinarySearchFunc(t.hashOrder, e, compareHash)
	t.hashOrder = slices.Insert(t.hashOrder, i, e)
}

// remove removes an entry. If byAddress already has a newer entry at the same address, that one is retained.
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
