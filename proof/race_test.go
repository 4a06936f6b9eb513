//go:build race

package proof

// raceEnabled reports whether the tests are built with the race detector. The
// binaries under test are then built with it too.
const raceEnabled = true
