//go:build !race

package gossip

const raceDetector = false
