package brain

// Burst tells whoever watches a node what its detector holds: how many candidates a pick is drawn from, and whether a burst
// is on. It changes nothing.
func (n *Node) Burst() (k int, on bool) { return n.choices(), n.burst }
