// Package theory owns the closed forms of queueing theory and the experiment that holds the lab's app node against
// them: an emulator is believed where it agrees with what is proven. Times are in mean services throughout. It must
// never run a queue of its own in the node's place, nor choose a bound after the fact.
//
// Sources: M/M/1, M/M/c and M/G/1 as in L. Kleinrock, Queueing Systems, Volume 1 (Wiley 1975), chapters 3 and 5, the
// last being F. Pollaczek's (1930) and A. Khinchine's (1932) formula, the second A. K. Erlang's (1917). The power of
// two choices: M. Mitzenmacher, The power of two choices in randomized load balancing, IEEE Transactions on Parallel
// and Distributed Systems 12(10), 2001, and before him N. Vvedenskaya, R. Dobrushin and F. Karpelevich, Queueing system
// with selection of the shortest of two queues: an asymptotic approach, Problems of Information Transmission 32(1),
// 1996.
package theory

import "math"

// MM1 is the mean wait at one server: exponential gaps and services.
func MM1(load float64) (wait float64) { return load / (1 - load) }

// MMc is the mean wait before any of some servers with one queue.
func MMc(servers int, load float64) (wait float64) {
	return ErlangC(servers, load) / (float64(servers) * (1 - load))
}

// ErlangC is the chance to have to wait before any of some servers, each at the given load. It comes out of Erlang's
// loss formula by the usual recursion, which stays exact where the factorials would not.
func ErlangC(servers int, load float64) float64 {
	offered, lost := float64(servers)*load, 1.0
	for k := 1; k <= servers; k++ {
		lost = offered * lost / (float64(k) + offered*lost)
	}
	return lost / (1 - load*(1-lost))
}

// MG1 is the Pollaczek-Khinchine mean wait, for services with the given squared coefficient of variation: 0 is M/D/1.
func MG1(load, scv float64) (wait float64) { return load * (1 + scv) / (2 * (1 - load)) }

// Choices is the mean response of exponential servers, each request joining the shortest of some queues drawn at
// random, as the number of servers grows without bound: the fixed point of the limit, in which a share
// load^((d^i-1)/(d-1)) of the servers holds i requests or more.
func Choices(d int, load float64) (response float64) {
	for exponent, step := 0.0, float64(d); ; exponent, step = exponent+step, step*float64(d) {
		term := math.Pow(load, exponent)
		if response += term; term < 1e-15 {
			return response
		}
	}
}
