// Package world owns the lab's model of everything around the balancers: app nodes, clients, the front, discovery,
// the network, and what goes wrong with them. It runs on a timeline.Clock and on streams of chance, so that the same
// world stands around simulated balancers in virtual time and, node by node, around real ones on sockets. It must
// never open a socket, read another clock, or know what a balancer believes.
package world
