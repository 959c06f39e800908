package brain

// regression is a linear least-squares fit in which older points have exponentially decaying weights. A prior pulls the
// line towards proportionality: through the origin and the mean point.
type regression struct {
	points                       float64
	meanX, meanY, meanXX, meanXY float64 // decayed moments
}

// add adds a point.
func (r *regression) add(x, y float64) {
	r.points++
	weight := max(regressionRate, 1/r.points)
	r.meanX += weight * (x - r.meanX)
	r.meanY += weight * (y - r.meanY)
	r.meanXX += weight * (x*x - r.meanXX)
	r.meanXY += weight * (x*y - r.meanXY)
}

// at returns the line's y at x, or 1 before the first point. The slope is never negative.
func (r *regression) at(x float64) float64 {
	if r.points == 0 {
		return 1
	}
	prior := regressionPrior * r.meanX * r.meanX
	slope := (r.meanXY - r.meanX*r.meanY + prior*r.meanY/r.meanX) / (r.meanXX - r.meanX*r.meanX + prior)
	return r.meanY + max(0, slope)*(x-r.meanX)
}
