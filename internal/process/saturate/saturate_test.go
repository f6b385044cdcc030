package saturate

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// These are the float64 next to the ends of the range of int64.
var (
	belowMax = math.Nextafter(1<<63, 0)
	belowMin = math.Nextafter(-1<<63, -1<<64)
)

func TestInt64AtTheEdges(t *testing.T) {
	for _, tt := range []struct {
		v    float64
		want int64
	}{
		{0, 0}, {math.Copysign(0, -1), 0}, {0.9, 0}, {-0.9, 0}, {1.9, 1}, {-1.9, -1},
		{math.SmallestNonzeroFloat64, 0}, {-math.SmallestNonzeroFloat64, 0},
		{1<<53 - 1, 1<<53 - 1}, {1 << 53, 1 << 53}, {-1 << 53, -1 << 53},
		{belowMax, math.MaxInt64 - 1023}, {1 << 63, math.MaxInt64}, {math.MaxInt64, math.MaxInt64},
		{-1 << 63, math.MinInt64}, {belowMin, math.MinInt64}, {-belowMax, math.MinInt64 + 1024},
		{math.MaxFloat64, math.MaxInt64}, {-math.MaxFloat64, math.MinInt64},
		{math.Inf(1), math.MaxInt64}, {math.Inf(-1), math.MinInt64}, {math.NaN(), 0},
	} {
		if got := Int64(tt.v); got != tt.want {
			t.Errorf("Int64(%v) = %d, want %d", tt.v, got, tt.want)
		}
		if got := Int(tt.v); int64(got) != min(max(tt.want, math.MinInt), math.MaxInt) {
			t.Errorf("Int(%v) = %d, want %d", tt.v, got, tt.want)
		}
		if got := Nanoseconds(tt.v); int64(got) != tt.want {
			t.Errorf("Nanoseconds(%v) = %d, want %d", tt.v, got, tt.want)
		}
	}
}

func TestUint32AtTheEdges(t *testing.T) {
	for _, tt := range []struct {
		v    float64
		want uint32
	}{
		{0, 0}, {1.9, 1}, {-0.9, 0}, {-1, 0}, {-1e300, 0}, {math.Inf(-1), 0}, {math.NaN(), 0},
		{1<<31 - 1, 1<<31 - 1}, {1 << 31, 1 << 31}, {1<<32 - 1, math.MaxUint32}, {1<<32 - 0.5, math.MaxUint32},
		{1 << 32, math.MaxUint32}, {1 << 63, math.MaxUint32}, {1e300, math.MaxUint32}, {math.Inf(1), math.MaxUint32},
	} {
		if got := Uint32(tt.v); got != tt.want {
			t.Errorf("Uint32(%v) = %d, want %d", tt.v, got, tt.want)
		}
	}
}

func TestDurationsAtTheEdges(t *testing.T) {
	const longest, shortest = time.Duration(math.MaxInt64), time.Duration(math.MinInt64)
	for _, tt := range []struct {
		ms   float64
		want time.Duration
	}{
		{1.5, 1500 * time.Microsecond}, {-1.5, -1500 * time.Microsecond}, {1e-7, 0}, {-1e-7, 0},
		{9e12, 9e12 * time.Millisecond}, {9.3e12, longest}, {-9e12, -9e12 * time.Millisecond}, {-9.3e12, shortest},
		{math.MaxFloat64, longest}, {-math.MaxFloat64, shortest},
		{math.Inf(1), longest}, {math.Inf(-1), shortest}, {math.NaN(), 0},
	} {
		if got := Milliseconds(tt.ms); got != tt.want {
			t.Errorf("Milliseconds(%v) = %v, want %v", tt.ms, got, tt.want)
		}
		if got := Seconds(tt.ms / 1000); got-tt.want > time.Microsecond || tt.want-got > time.Microsecond {
			t.Errorf("Seconds(%v) = %v, want %v", tt.ms/1000, got, tt.want)
		}
	}
}

func TestDurationsAreNotConvertedByHand(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	files := 0
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok && isCallOf(call, "time.Duration") && containsFloat(call.Args[0]) {
				t.Errorf("%v: time.Duration of a float64", set.Position(call.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil || files < 100 {
		t.Errorf("%d files read, %v; want the files of the whole module", files, err)
	}
}

func isCallOf(call *ast.CallExpr, name string) bool { return types.ExprString(call.Fun) == name }

// containsFloat reports whether part of an expression is converted to float64 on the way.
func containsFloat(x ast.Expr) (found bool) {
	ast.Inspect(x, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		found = found || ok && isCallOf(call, "float64")
		return !found
	})
	return found
}
