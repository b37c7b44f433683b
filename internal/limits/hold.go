package limits

import "runtime"

// Hold is an amount that belongs to no connection of a caller: a statement or an answer on the way between VMs, or the rows
// of an answer. What is not released is released when the Hold is collected as garbage, because a result that nobody
// waits for any more is dropped without notice.
type Hold struct {
	*held
}

type held struct {
	b *Budget
	n int64
}

// Hold charges n bytes.
func (b *Budget) Hold(n int64) (*Hold, error) {
	if b == nil {
		return nil, nil
	}
	h := &Hold{&held{b: b}}
	if err := h.Grow(n); err != nil {
		return nil, err
	}
	runtime.AddCleanup(h, (*held).release, h.held)
	return h, nil
}

// Grow charges n more bytes.
func (h *Hold) Grow(n int64) error {
	if h == nil {
		return nil
	}
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(n, h.n+n) {
		b.refused++
		return ErrShort
	}
	h.n += n
	b.used += n
	return nil
}

// Shrink returns all but n bytes.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if n < h.n {
		h.b.used -= h.n - n
		h.n = n
	}
}

// Release returns all bytes.
func (h *Hold) Release() {
	if h != nil {
		h.release()
	}
}

func (h *held) release() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.b.used -= h.n
	h.n = 0
}
