// Package booking decides which calls run on an upstream, which wait and
// which are refused.
//
// Use a Desk for each upstream. It starts calls up to a concurrency limit,
// queues the rest by class and deadline, shares each class fairly between
// kinds of work and their callers, and refuses what cannot finish in time. A
// Desk has no goroutines and no timers: it decides only inside its methods.
package booking
