//go:build race

package main

// raceEnabled tells whether the tests run under the race detector; the program
// is then built with it, too.
const raceEnabled = true
