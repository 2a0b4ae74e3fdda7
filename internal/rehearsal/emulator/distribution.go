package emulator

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// DistributionFamily is the name of a family of probability distributions.
type DistributionFamily string

// The families from which work can be drawn.
const (
	Fixed       DistributionFamily = "fixed"
	Exponential DistributionFamily = "exponential"
	Lognormal   DistributionFamily = "lognormal"
	Pareto      DistributionFamily = "pareto"
)

// Families returns the names of all families.
func Families() []string {
	return []string{string(Fixed), string(Exponential), string(Lognormal), string(Pareto)}
}

// WorkDistribution is a probability distribution of the work of jobs.
type WorkDistribution struct {
	Mean  time.Duration
	Shape DistributionFamily
	CV    float64 // ratio of standard deviation to mean, for Lognormal and Pareto; above 0
}

// RandomSource returns the stream of random numbers for a seed and a name. Streams with different names are independent.
func RandomSource(seed uint64, name string) rand.Source {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, seed)) // Write of a hash never returns an error
	_, _ = hash.Write([]byte(name))
	return rand.NewPCG(seed, hash.Sum64())
}

// randomVariable is a probability distribution from which values can be drawn.
type randomVariable interface {
	Rand() float64
	CDF(x float64) float64
}

// distribution returns the probability distribution in seconds. It returns an error for Fixed and for an unknown shape.
func (w WorkDistribution) distribution(src rand.Source) (randomVariable, error) {
	mean := w.Mean.Seconds()
	switch w.Shape {
	case Exponential:
		return distuv.Exponential{Rate: 1 / mean, Src: src}, nil
	case Lognormal:
		variance := math.Log(1 + w.CV*w.CV)
		return distuv.LogNormal{Mu: math.Log(mean) - variance/2, Sigma: math.Sqrt(variance), Src: src}, nil
	case Pareto:
		alpha := 1 + math.Sqrt(1+1/(w.CV*w.CV))
		return distuv.Pareto{Xm: mean * (alpha - 1) / alpha, Alpha: alpha, Src: src}, nil
	}
	return nil, fmt.Errorf("no random distribution has the shape %q", w.Shape)
}

// Draw draws the work of one job. A distribution of an unknown family, or with a CV or mean of 0 or less, always gives the mean.
func (w WorkDistribution) Draw(src rand.Source) time.Duration {
	variable, err := w.distribution(src)
	if err != nil || w.Mean <= 0 || w.CV <= 0 && w.Shape != Exponential {
		return w.Mean
	}
	return time.Duration(variable.Rand() * 1e9)
}
