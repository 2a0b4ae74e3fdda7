//go:build !race

package inbound

const raceDetector = false
