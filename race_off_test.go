//go:build !race

package main

// raceEnabled tells whether the tests run under the race detector.
const raceEnabled = false
