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

// DistributionFamily is a family of distributions.
type DistributionFamily string

// The families that work can be drawn from.
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

// WorkDistribution is a distribution of the work of jobs.
type WorkDistribution struct {
	Mean  time.Duration
	Shape DistributionFamily
	CV    float64 // standard deviation over mean, of a Lognormal or a Pareto; above 0
}

// RandomSource returns the stream of random numbers of a seed and a name. It does not depend on what is drawn from others.
func RandomSource(seed uint64, name string) rand.Source {
	hash := fnv.New64a()
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, seed)) // a hash takes any bytes
	_, _ = hash.Write([]byte(name))
	return rand.NewPCG(seed, hash.Sum64())
}

// randomVariable is a distribution that can be drawn from.
type randomVariable interface {
	Rand() float64
	CDF(x float64) float64
}

// distribution returns the distribution, in seconds.
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
	return nil, fmt.Errorf("%q is not a shape", w.Shape)
}

// Draw returns the work of one job. A distribution of an unknown family, or without a spread, is Fixed.
func (w WorkDistribution) Draw(src rand.Source) time.Duration {
	variable, err := w.distribution(src)
	if err != nil || w.Mean <= 0 || w.CV <= 0 && w.Shape != Exponential {
		return w.Mean
	}
	return time.Duration(variable.Rand() * 1e9)
}
