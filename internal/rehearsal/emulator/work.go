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

// The shapes that work may have.
const (
	Fixed       DistributionFamily = "fixed"
	Exponential DistributionFamily = "exponential"
	Lognormal   DistributionFamily = "lognormal"
	Pareto      DistributionFamily = "pareto"
)

// Families are all of them.
func Families() []string {
	return []string{string(Fixed), string(Exponential), string(Lognormal), string(Pareto)}
}

// WorkDistribution is a distribution of the work of jobs.
type WorkDistribution struct {
	Mean  time.Duration
	Shape DistributionFamily
	CV    float64 // standard deviation over mean, of a Lognormal or a Pareto; above 0
}

// RandomSource is a stream of random numbers that belongs to a seed and a name: the same, whatever was drawn for others.
func RandomSource(seed uint64, name string) rand.Source {
	h := fnv.New64a()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	h.Write(b[:])
	h.Write([]byte(name))
	return rand.NewPCG(seed, h.Sum64())
}

// distribution is the distribution, in seconds.
func (w WorkDistribution) distribution(src rand.Source) (interface {
	Rand() float64
	CDF(float64) float64
}, error,
) {
	mean := w.Mean.Seconds()
	switch w.Shape {
	case Exponential:
		return distuv.Exponential{Rate: 1 / mean, Src: src}, nil
	case Lognormal:
		s2 := math.Log(1 + w.CV*w.CV)
		return distuv.LogNormal{Mu: math.Log(mean) - s2/2, Sigma: math.Sqrt(s2), Src: src}, nil
	case Pareto:
		a := 1 + math.Sqrt(1+1/(w.CV*w.CV))
		return distuv.Pareto{Xm: mean * (a - 1) / a, Alpha: a, Src: src}, nil
	}
	return nil, fmt.Errorf("%q is not a shape", w.Shape)
}

// Draw is the work of one job. What is no shape, or has no spread, is Fixed.
func (w WorkDistribution) Draw(src rand.Source) time.Duration {
	d, err := w.distribution(src)
	if err != nil || w.Mean <= 0 || w.CV <= 0 && w.Shape != Exponential {
		return w.Mean
	}
	return time.Duration(d.Rand() * 1e9)
}
