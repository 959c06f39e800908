// Package enginelab plays routers with their real selection against a model of batching engines, in virtual time and in one
// process. It shows what a policy does to streams and prompts that share an instance: late first events, late pauses between
// events, and shared prompt tokens that are read again. Days of some thirty seconds take a few seconds, so that a policy can
// be tried on many seeds.
package enginelab
