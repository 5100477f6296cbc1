//go:build race

package main

// raceEnabled reports whether the tests run under the race detector. TestMain
// then builds the program with the race detector, too.
const raceEnabled = true
