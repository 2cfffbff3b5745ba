package admission

import (
	"math/rand/v2"
	"time"

	"eelgrassring.dev/internal/fleet"
)

const (
	// requestCost is added to a replica's pending prefill for each request there: a
	// request lengthens each engine pass by 0.6 ms and occupies a slot.
	requestCost = 2 * time.Millisecond
	// minArrivalFraction is the least value of arrivalFraction: loads are reported every
	// reportInterval, and a request takes 1.0 s if nothing else is known. arrivalMargin keeps
	// the fraction above what arrives, so that the selection does not oscillate.
	minArrivalFraction = arrivalMargin * float64(reportInterval) / float64(time.Second)
	maxArrivalFraction = 10.0
	arrivalMargin      = 1.5
	reportInterval     = 800 * time.Millisecond
	// maxShareFactor bounds a replica's probability of selection as a multiple of an
	// equal share. It matters for a replica that has just opened: its engine can
	// prefill 1.58 times an equal share of the prompts in time.
	maxShareFactor = 1.3
	// minWeightFraction is the least weight of a replica as a fraction of the mean
	// request load.
	minWeightFraction = 0.3
	// shedStart is the mean request load, as a fraction of the limit, from which
	// requests are shed, and shedRange the further increase over which the shed
	// fraction grows to all of them. A replica whose load reaches maxOverload, as a
	// multiple of the limit, gets no more requests.
	shedStart   = 0.95
	shedRange   = 0.4
	maxOverload = 1.5
	// maxFixedPart bounds Limit.FixedPart.
	maxFixedPart = 0.9
	// costJitter bounds the random cost that is added so that nodes that know the same
	// loads do not all choose the same replica.
	costJitter = 4 * time.Millisecond
	// assignedUtilization is the used part of the capacity from which a node sends its
	// requests to its assigned slots. Below, the replicas have room for uneven choices.
	assignedUtilization = 0.6
	// maxAssignedOverload is the known load, as a multiple of the limit, from which an
	// assigned slot is not used: the replica is slower than the others, or not all nodes
	// know the same replicas.
	maxAssignedOverload = 1.25
)

// choose selects a replica for an admitted request, or returns false if none has room.
func (c *Controller) choose(t *Ticket, l load, v View) (fleet.Candidate, bool) {
	if v.Nodes <= DirectNodes {
		if v.Nodes > 1 && l.utilization() >= directFreeUtilization {
			if chosen, ok := chooseAssigned(v, 1); ok {
				return chosen, true
			}
		}
		return chooseLowestCost(v.Candidates, v.Limit, c.random)
	}
	if l.utilization() >= assignedUtilization {
		if chosen, ok := chooseAssigned(v, maxAssignedOverload); ok {
			return chosen, true
		}
	}
	return chooseWeighted(v.Candidates, v.Limit, t.rank, c.random)
}

// ChooseByLoad selects a replica by the loads alone, without a bound or an order. It returns
// false if none has room, or if the request is shed: with more than DirectNodes nodes, those with
// a low rank, from 0 to 1, are first.
func (c *Controller) ChooseByLoad(v View, rank float64) (fleet.Candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.Nodes <= DirectNodes {
		return chooseLowestCost(v.Candidates, v.Limit, c.random)
	}
	return chooseWeighted(v.Candidates, v.Limit, rank, c.random)
}

// chooseAssigned returns the replica with the least load among those at which the node has
// an unused assigned slot, or false if there is none. If the nodes chose at random, with
// loads that are some hundred milliseconds old, some replicas would be full long before the
// others. The assigned slots of all nodes together fill all replicas evenly. A replica whose
// load reaches maxLoad, as a multiple of the limit, is left out.
func chooseAssigned(v View, maxLoad float64) (fleet.Candidate, bool) {
	best := -1
	for i, c := range v.Candidates {
		if c.Own >= assignedSlots(v, i) || c.Prefill > v.Limit.MaxPrefill || float64(c.Load) >= maxLoad*loadLimit(c, v.Limit) {
			continue
		}
		if best < 0 || float64(c.Load)*speedOf(v.Candidates[best]) < float64(v.Candidates[best].Load)*speedOf(c) {
			best = i
		}
	}
	if best < 0 {
		return fleet.Candidate{}, false
	}
	return v.Candidates[best], true
}

// assignedSlots returns how many slots of a candidate are assigned to the node. The slots
// are dealt out in rounds, one of each replica in a round; each node gets an equal part of
// this sequence, so that its slots are on as many replicas as possible.
func assignedSlots(v View, candidate int) int {
	replicas, nodes := len(v.Candidates), max(v.Nodes, 1)
	slots := replicas * max(v.Limit.MaxLoad, 1)
	index := min(max(v.Index, 0), nodes-1)
	begin, end := slots*index/nodes, slots*(index+1)/nodes
	return countUpTo(end, replicas, candidate) - countUpTo(begin, replicas, candidate)
}

// countUpTo returns how many of the first n slots of the sequence belong to a candidate.
func countUpTo(n, replicas, candidate int) int {
	return (n + replicas - 1 - candidate) / replicas
}

// speedOf returns the relative speed of a replica.
func speedOf(c fleet.Candidate) float64 {
	if c.Speed <= 0 {
		return 1
	}
	return c.Speed
}

// arrivalFraction returns the number of requests that a replica gets between two reports of its
// load, as a fraction of the load.
func arrivalFraction(limit Limit) float64 {
	if limit.RequestTime <= 0 {
		return minArrivalFraction
	}
	fraction := arrivalMargin * float64(reportInterval) / float64(limit.RequestTime)
	return min(max(fraction, minArrivalFraction), maxArrivalFraction)
}

// loadLimit returns how many requests a replica may have. In a slow one only the part of an
// engine's pass that grows with the load can be shorter, and a fast one has no more slots. It is
// at least one, so that a slow replica is measured.
func loadLimit(c fleet.Candidate, limit Limit) float64 {
	if speedOf(c) >= 1 {
		return float64(limit.MaxLoad)
	}
	fixed := min(limit.FixedPart, maxFixedPart)
	return max(float64(limit.MaxLoad)*(speedOf(c)-fixed)/(1-fixed), 1)
}

// chooseWeighted picks a replica at random. It returns false if no replica is usable or
// the request is shed. The weights let the choices of all nodes together even out the
// request loads, although the loads known to a node are some hundred milliseconds old.
// Until the next report of loads, a replica gets about its arrivalFraction of its part of the mean
// load, times its speed, plus that part less its own load. If the nodes chose the least loaded replica,
// or skipped those that just reached the limit, all nodes would move to the same other
// replicas. The limit therefore applies to the mean load, and requests are shed
// gradually, those with the lowest rank (0 to 1) first. If all but a few replicas are overloaded,
// the few get no more than their bounded shares of the requests: all nodes see the same few. Few
// may also have room for a long prompt, which other requests don't see.
func chooseWeighted(candidates []fleet.Candidate, limit Limit, rank float64, random *rand.Rand) (fleet.Candidate, bool) {
	usable := make([]fleet.Candidate, 0, len(candidates))
	mean, capacity, speeds, open, reachable := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, c := range candidates {
		speeds += speedOf(c)
		if float64(c.Load) >= maxOverload*loadLimit(c, limit) {
			continue
		}
		open += maxShareFactor * speedOf(c)
		if c.Prefill <= limit.MaxPrefill {
			usable = append(usable, c)
			mean += float64(c.Load)
			capacity += loadLimit(c, limit)
			reachable += maxShareFactor * speedOf(c)
		}
	}
	if len(usable) == 0 {
		return fleet.Candidate{}, false
	}
	mean = max(mean*float64(max(limit.MaxLoad, 1))/capacity, 1)
	if over := mean/float64(max(limit.MaxLoad, 1)) - shedStart; rank < max(over/shedRange, 1-open/speeds) {
		return fleet.Candidate{}, false
	}
	numbers := make([]float64, 2*len(usable))
	weights, maxShares := numbers[:len(usable)], numbers[len(usable):]
	total, arrivals := 0.0, arrivalFraction(limit)
	for i, c := range usable {
		target := mean * loadLimit(c, limit) / float64(max(limit.MaxLoad, 1))
		weights[i] = max(target*(1+arrivals*speedOf(c))-float64(c.Load), target*minWeightFraction*speedOf(c))
		maxShares[i] = maxShareFactor * speedOf(c) / min(speeds, reachable)
		total += weights[i]
	}
	return usable[sampleWeighted(weights, total, maxShares, random)], true
}

// sampleWeighted returns a random index of weights. The probability of an index is
// proportional to its weight. Probabilities above its maximum share are lowered to that, and
// the excess goes to the other indices in proportion to their weights.
func sampleWeighted(weights []float64, total float64, maxShares []float64, random *rand.Rand) int {
	capped, rest := 0.0, 0.0
	for i, w := range weights {
		if w > maxShares[i]*total {
			capped += maxShares[i]
		} else {
			rest += w
		}
	}
	point := random.Float64()
	for i, w := range weights {
		switch {
		case w > maxShares[i]*total:
			point -= maxShares[i]
		case rest > 0:
			point -= w / rest * (1 - capped)
		}
		if point < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// chooseLowestCost returns the replica within the limit that is expected to respond
// first, or false if there is none.
func chooseLowestCost(candidates []fleet.Candidate, limit Limit, random *rand.Rand) (fleet.Candidate, bool) {
	best, bestCost := -1, time.Duration(0)
	for i, c := range candidates {
		if float64(c.Load) >= loadLimit(c, limit) || c.Prefill > limit.MaxPrefill {
			continue
		}
		cost := time.Duration(float64(c.Prefill+time.Duration(c.Load+1)*requestCost)/speedOf(c)) + time.Duration(random.Int64N(int64(costJitter)))
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return fleet.Candidate{}, false
	}
	return candidates[best], true
}
