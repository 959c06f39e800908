package selection

import (
	"slices"

	"pewterrudder/internal/router/instances"
	"pewterrudder/internal/router/protocol"
)

// candidates returns the eligible instances with the best health status present. Suspect instances are included if they
// outnumber the usable ones: then the fault is likely elsewhere. The result is valid until the next call.
func (s *Selector) candidates(b *backend, request *Request) []*target {
	var count [statusWrongInstance + 1]int
	eligible, statuses := s.scratch.targets[:0], s.scratch.statuses[:0]
	for _, t := range b.targets {
		if t.accepts(request) {
			status := t.healthStatus(request.Now)
			count[status]++
			eligible, statuses = append(eligible, t), append(statuses, status)
		}
	}
	s.scratch.targets, s.scratch.statuses = eligible, statuses
	worst := worstAcceptableStatus(&count)
	candidates := eligible[:0]
	for i, t := range eligible {
		if statuses[i] <= worst {
			candidates = append(candidates, t)
		}
	}
	return candidates
}

// worstAcceptableStatus returns the worst status of a candidate, given the number of eligible instances by status.
func worstAcceptableStatus(count *[statusWrongInstance + 1]int) healthStatus {
	if count[statusSuspect] > count[statusUsable] {
		return statusSuspect
	}
	worst := statusUsable
	for worst < statusUnreachable && count[worst] == 0 {
		worst++
	}
	return worst
}

// accepts reports whether the request may be sent to the instance at all, whatever its health.
func (t *target) accepts(request *Request) bool {
	return t.instance.Ready() && servesModel(t.instance, request.Model) && !slices.Contains(request.Excluded, t.instance.ID)
}

// servesModel reports whether an instance serves a model or LoRA. An instance that lists no models serves all, and an
// empty model matches every instance.
func servesModel(instance *instances.Instance, model string) bool {
	if model == "" || len(instance.Models) == 0 {
		return true
	}
	return slices.ContainsFunc(instance.Models, func(served protocol.Model) bool {
		return served.Name == model || slices.Contains(served.LoRAs, model)
	})
}
