package brain

// The sample: the subset of the fleet that a node sends to.

// refillSample updates the sample: all of a small fleet, else a random subset, large enough for a choice and
// small enough to keep connections warm and load scores fresh. Ejected and removed servers leave the sample.
func (n *Node) refillSample() {
	keep := n.ranked[:0]
	for _, s := range n.ranked {
		if n.usable(s) {
			keep = append(keep, s)
		} else {
			s.inSample = false
		}
	}
	n.ranked = keep
	target := max(minSampleSize, n.cfg.Sample, int(samplePerRequest*max(n.meanInFlight, float64(n.inFlight))))
	if n.now >= n.rotateAt && len(n.ranked) >= target && len(n.fleet) > len(n.ranked) {
		n.rotateAt = n.now + rotateInterval
		worst := n.ranked[len(n.ranked)-1]
		n.ranked = n.ranked[:len(n.ranked)-1]
		worst.inSample = false
		if n.cfg.Prices.Connection > 0 {
			n.emit(Action{Kind: CloseIdle, Server: worst.Server})
		}
	}
	n.admitNew(target)
	if len(n.ranked) >= target || len(n.ranked) >= len(n.fleet) {
		return
	}
	if len(n.fleet) <= target {
		for _, s := range n.fleet {
			n.addToSample(s)
		}
		return
	}
	for try := 0; try < 8*target && len(n.ranked) < target; try++ {
		n.addToSample(n.fleet[n.rng.IntN(len(n.fleet))])
	}
}

// admitNew replaces a random member of the sample with each new server, with the probability the server would
// have had when the sample was drawn. Otherwise new servers of a fast-growing fleet would stay idle while the
// old ones are overloaded.
func (n *Node) admitNew(target int) {
	for _, s := range n.newServers {
		if len(n.ranked) < target || s.inSample || !n.usable(s) || n.rng.IntN(len(n.fleet)) >= target {
			continue
		}
		i := n.rng.IntN(len(n.ranked))
		n.ranked[i].inSample = false
		n.ranked[i], s.inSample, s.answers = s, true, 0
	}
	n.newServers = n.newServers[:0]
}

func (n *Node) addToSample(s *server) {
	if !s.inSample && n.usable(s) {
		s.inSample, s.answers = true, 0
		n.ranked = append(n.ranked, s)
	}
}

// sharers returns the expected number of nodes that have a given server in their sample, at least 1.
func (n *Node) sharers() float64 {
	return max(1, float64(n.cfg.Nodes)*float64(len(n.ranked))/float64(max(1, len(n.fleet))))
}

// usable reports whether a server is ready and not ejected for all classes.
func (n *Node) usable(s *server) bool {
	for i := range s.health {
		if s.health[i].ejectedUntil <= n.now && !n.classes[i].Gone {
			return s.State == Ready
		}
	}
	return false
}
