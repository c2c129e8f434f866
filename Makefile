# RAPID_SEED fixes the randomised tests of make test and make ci.
RAPID_SEED ?= 20261204
# SOAK_MINUTES bounds make soak; SOAK_CHECKS is the number of checks of each test in one run.
SOAK_MINUTES ?= 30
SOAK_CHECKS ?= 2000

export RAPID_SEED SOAK_MINUTES SOAK_CHECKS
export RAPID_NOFAILFILE := 1

.PHONY: test ci soak

test:
	go test ./...

ci:
	.ci/run

soak:
	.ci/soak
