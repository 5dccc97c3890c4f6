package policy

// fix inserts a member into the heap of its group, or restores the order of the
// heap after the member's key has changed.
func (g *group) fix(m *member) {
	if m.pos < 0 {
		m.pos = len(g.heap)
		g.heap = append(g.heap, m)
	}
	if !g.up(m.pos) {
		g.down(m.pos)
	}
}

// remove removes a member from the heap of its group.
func (g *group) remove(m *member) {
	if m.pos < 0 {
		return
	}
	i, last := m.pos, len(g.heap)-1
	g.swap(i, last)
	g.heap[last] = nil
	g.heap = g.heap[:last]
	m.pos = -1
	if i < last && !g.up(i) {
		g.down(i)
	}
}

func (g *group) swap(i, j int) {
	g.heap[i], g.heap[j] = g.heap[j], g.heap[i]
	g.heap[i].pos, g.heap[j].pos = i, j
}

func (g *group) up(i int) (moved bool) {
	for i > 0 {
		p := (i - 1) / 2
		if g.heap[p].key <= g.heap[i].key {
			break
		}
		g.swap(i, p)
		i, moved = p, true
	}
	return moved
}

func (g *group) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(g.heap) {
			return
		}
		if r := c + 1; r < len(g.heap) && g.heap[r].key < g.heap[c].key {
			c = r
		}
		if g.heap[i].key <= g.heap[c].key {
			return
		}
		g.swap(i, c)
		i = c
	}
}
