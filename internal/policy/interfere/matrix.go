package interfere

import "math"

// symmetric is a symmetric matrix of order n in row-major order.
type symmetric struct {
	n int
	v []float64
}

func newSymmetric(n int) symmetric { return symmetric{n, make([]float64, n*n)} }

func (m symmetric) at(i, j int) float64 { return m.v[i*m.n+j] }

// addOuter adds w·x·xᵀ after scaling the matrix by keep.
func (m symmetric) addOuter(keep, w float64, x []float64) {
	for i := range x {
		row := m.v[i*m.n : (i+1)*m.n]
		wi := w * x[i]
		for j := range x {
			row[j] = row[j]*keep + wi*x[j]
		}
	}
}

// extended returns a copy with one more row and column of zeros.
func (m symmetric) extended() symmetric {
	g := newSymmetric(m.n + 1)
	for i := range m.n {
		copy(g.v[i*g.n:i*g.n+m.n], m.v[i*m.n:(i+1)*m.n])
	}
	return g
}

// inverse returns the inverse of a positive definite matrix, computed from its
// Cholesky factor. A pivot that is too small because of rounding is raised.
func (m symmetric) inverse() symmetric {
	n := m.n
	l := newSymmetric(n)
	for i := range n {
		for j := 0; j <= i; j++ {
			sum := m.at(i, j)
			for k := range j {
				sum -= l.at(i, k) * l.at(j, k)
			}
			if i == j {
				l.v[i*n+i] = math.Sqrt(max(sum, 1e-9))
			} else {
				l.v[i*n+j] = sum / l.at(j, j)
			}
		}
	}
	return l.invertFactor()
}

// invertFactor returns (L·Lᵀ)⁻¹, where L is the lower triangle of m.
func (m symmetric) invertFactor() symmetric {
	n := m.n
	out := newSymmetric(n)
	y := make([]float64, n)
	for c := range n {
		for i := range n {
			sum := 0.0
			if i == c {
				sum = 1
			}
			for k := range i {
				sum -= m.at(i, k) * y[k]
			}
			y[i] = sum / m.at(i, i)
		}
		for i := n - 1; i >= 0; i-- {
			sum := y[i]
			for k := i + 1; k < n; k++ {
				sum -= m.at(k, i) * out.v[k*n+c]
			}
			out.v[i*n+c] = sum / m.at(i, i)
		}
	}
	return out
}

// quadratic returns xᵀ·M·x.
func (m symmetric) quadratic(x []float64) float64 {
	sum := 0.0
	for i := range x {
		if x[i] == 0 {
			continue
		}
		row := m.v[i*m.n : (i+1)*m.n]
		dot := 0.0
		for j := range x {
			dot += row[j] * x[j]
		}
		sum += x[i] * dot
	}
	return sum
}

// dot returns the dot product of two vectors.
func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}
