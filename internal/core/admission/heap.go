package admission

// itemHeap is a heap.Interface that orders calls by FirstTokenBy, then by ID, which
// is the order of arrival. It keeps heapIndex of its items up to date.
type itemHeap struct {
	items []*Item
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int {
	return len(h.items)
}

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if !a.FirstTokenBy.Equal(b.FirstTokenBy) {
		return a.FirstTokenBy.Before(b.FirstTokenBy)
	}
	return a.ID < b.ID
}

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex = i
	h.items[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	return item
}
