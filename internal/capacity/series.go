package main

import (
	"runtime"
	"time"
)

// point is one measured value at one fleet size.
type point struct {
	size  float64
	value float64
}

// series holds the measurements of one figure at several fleet sizes.
type series struct {
	// role is the component that bears the cost, name the figure, unit its unit.
	role, name, unit string
	// sizeName names the things that the size counts.
	sizeName string
	// target is the size for which the figure is extrapolated.
	target float64
	points []point
}

// fit returns the least-squares line through the points.
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

// valueAtTarget extrapolates the figure to the target size.
func (s *series) valueAtTarget() float64 {
	slope, offset := s.fit()
	return offset + slope*s.target
}

// add appends a measured value.
func (s *series) add(size int, value float64) {
	s.points = append(s.points, point{size: float64(size), value: value})
}

// heapBytes returns the size in bytes of the heap objects after a garbage
// collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureSeconds returns the duration of run in seconds.
func measureSeconds(run func()) float64 {
	start := time.Now()
	run()
	return time.Since(start).Seconds()
}

const (
	// percent converts processor time in seconds per second into percent of a core.
	percent  = 100
	kilobyte = 1000
	megabyte = 1e6
)
