package carobbend

import "testing"

// TestCommonRegion guards against a routing that needs more than one region and isn't reported, and against a report on one that
// a single region can serve.
func TestCommonRegion(t *testing.T) {
	for _, c := range []struct {
		name   string
		routes [][]string
		want   bool
	}{
		{"no routes", nil, true},
		{"no limits", [][]string{nil, {}}, true},
		{"the same", [][]string{{"eu"}, nil, {"eu"}}, true},
		{"one in common", [][]string{{"eu", "us"}, {"asia", "us"}}, true},
		{"none in common", [][]string{{"eu", "us"}, {"us", "asia"}, {"asia", "eu"}}, false},
		{"different", [][]string{{"eu"}, {"us"}}, false},
	} {
		r := &Routing{}
		for _, regions := range c.routes {
			r.Routes = append(r.Routes, Route{Regions: regions})
		}
		if got := r.HasCommonRegion(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
