package scatterer_test

import (
	"testing"
	"time"
)

// conditions is the pattern of a fleet whose upstreams start, fail and recover, and are cold then.
func conditions(instances int, f func(shard, replica int, at time.Duration) condition) pattern {
	p := fleet(instances)
	p.troubleFrom, p.troubleTo, p.condition = 0, 0, f
	return p
}

// during returns the condition for two of three replicas between 1 s and 5 s, a little later for each shard.
func during(c condition) func(shard, replica int, at time.Duration) condition {
	return func(shard, replica int, at time.Duration) condition {
		offset := time.Duration(shard) * 50 * time.Millisecond
		if replica > 0 && at >= time.Second+offset && at < 5*time.Second+offset {
			return c
		}
		return works
	}
}

// starting has a third replica of each shard that starts after two seconds, one shard after the other.
func starting(shard, replica int, at time.Duration) condition {
	if replica == 2 && at < 2*time.Second+time.Duration(shard)*100*time.Millisecond {
		return absent
	}
	return works
}

// flapping has two replicas that fail in every other half second.
func flapping(shard, replica int, at time.Duration) condition {
	if replica > 0 && at > time.Second && (at/(500*time.Millisecond)+time.Duration(shard+replica))%2 == 0 {
		return failing
	}
	return works
}

// restartOfServices restarts all replicas of half of the shards at once.
func restartOfServices(shard, _ int, at time.Duration) condition {
	if shard < 18 && at >= 3*time.Second && at < 3500*time.Millisecond {
		return absent
	}
	return works
}

// rollingRestart restarts one replica of all shards after the other.
func rollingRestart(_, replica int, at time.Duration) condition {
	from := time.Duration(2+replica) * time.Second
	if at >= from && at < from+500*time.Millisecond {
		return absent
	}
	return works
}

// TestPace guards against upstreams that get a request of each of many instances at once when they start or recover, or one of each
// while they are silent, and against a pace that starves a service or keeps a working upstream idle.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		name    string
		pattern pattern
		gain    float64
	}{
		{"23 instances, new", conditions(23, starting), -noise},
		{"76 instances, silent and recovered", conditions(76, during(silent)), 0.02},
		{"23 instances, flapping", conditions(23, flapping), -noise},
		{"23 instances, services restarted", conditions(23, restartOfServices), -noise},
		{"23 instances, rolling restart", conditions(23, rollingRestart), -noise},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.pattern.shared = true
			without := newSimulation(c.pattern, 0).run()
			c.pattern.paced = true
			with := newSimulation(c.pattern, 0).run()
			t.Logf("in time %.3f without a pace, %.3f with it", without, with)
			if with < without+c.gain {
				t.Errorf("got %.3f in time with a pace, want at least %.3f", with, without+c.gain)
			}
		})
	}
}
