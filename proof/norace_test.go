//go:build !race

package proof

// raceEnabled makes the programs under test be built with the race detector
// when the tests are.
const raceEnabled = false
