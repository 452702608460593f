package main

import (
	"runtime"
	"time"
)

// point is one measured figure.
type point struct {
	size  float64
	value float64
}

// series is one figure at several sizes.
type series struct {
	// role is who bears the cost, name what is measured, unit its unit.
	role, name, unit string
	// sizeName says what the size counts.
	sizeName string
	// target is the size to work out.
	target float64
	points []point
}

// fit returns the line of least squares through the points.
func (s *series) fit() (slope, offset float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range s.points {
		n++
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return slope, (sumY - slope*sumX) / n
}

// atTarget works the figure out for the target's size.
func (s *series) atTarget() float64 {
	slope, offset := s.fit()
	return offset + slope*s.target
}

// add appends a measured figure.
func (s *series) add(size int, value float64) {
	s.points = append(s.points, point{size: float64(size), value: value})
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// timed returns how long run takes in seconds.
func timed(run func()) float64 {
	start := time.Now()
	run()
	return time.Since(start).Seconds()
}

const (
	// percent turns a share of a second of processor time into a share of a core.
	percent  = 100
	kilobyte = 1000
	megabyte = 1e6
)
