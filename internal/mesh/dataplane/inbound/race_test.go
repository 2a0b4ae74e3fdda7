//go:build race

package inbound

const raceDetector = true
