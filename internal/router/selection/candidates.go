package selection

import (
	"slices"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
)

// candidates are the ready instances of the best standing. Instances in doubt are candidates too where they would be
// more than half: then the fault is likely elsewhere.
func (s *Selector) candidates(from *backend, request *Request) []*target {
	var count [standingNever + 1]int
	open, standings := s.scratch.targets[:0], s.scratch.standings[:0]
	for _, known := range from.targets {
		if known.isOpenTo(request) {
			found := known.standing(request.Now)
			count[found]++
			open, standings = append(open, known), append(standings, found)
		}
	}
	s.scratch.targets, s.scratch.standings = open, standings
	worst := worstCandidate(&count)
	candidates := open[:0]
	for i, known := range open {
		if standings[i] <= worst {
			candidates = append(candidates, known)
		}
	}
	return candidates
}

// worstCandidate is the worst standing that is good enough, given how many instances there are of each.
func worstCandidate(count *[standingNever + 1]int) standing {
	if count[standingSuspect] > count[standingUsable] {
		return standingSuspect
	}
	worst := standingUsable
	for worst < standingUnreachable && count[worst] == 0 {
		worst++
	}
	return worst
}

// isOpenTo tells whether the request may be sent to the instance at all.
func (t *target) isOpenTo(request *Request) bool {
	return t.instance.Ready() && serves(t.instance, request.Model) && !slices.Contains(request.Excluded, t.instance.ID)
}

// serves tells whether an instance serves a model. One that names no models serves all.
func serves(instance *instances.Instance, model string) bool {
	if model == "" || len(instance.Models) == 0 {
		return true
	}
	return slices.ContainsFunc(instance.Models, func(served protocol.Model) bool {
		return served.Name == model || slices.Contains(served.LoRAs, model)
	})
}
