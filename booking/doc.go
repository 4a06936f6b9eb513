// Package booking implements admission control for an upstream: it decides
// which calls run, which wait in a queue and which are refused.
//
// Use a Controller for each upstream. It starts calls up to a concurrency
// limit, queues the rest by priority class and deadline, shares each class
// fairly between kinds of work and their callers, and refuses calls that cannot
// finish in time. A Controller has no goroutines and no timers: it decides only
// inside its methods.
package booking
