# RAPID_SEED fixes the randomised tests of make test and make ci.
RAPID_SEED ?= 20261204
# SOAK_MINUTES is the duration of make soak; SOAK_CHECKS is the number of checks of each test in one run.
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

# FLEETBENCH is the platform's benchmark tool, which isn't part of the repository, and SITES the directory of its site files.
FLEETBENCH ?= fleetbench
SITES ?= sites
# JOBS must be at most half of the processors; with more, the benchmark may abandon a day.
JOBS ?= 3
REGRESSION_SITES ?= large/banquetas-bajio-large further-grown/elfen-search-grown further/elfen-search \
	grown/banquetas-bajio-grown grown/voksbjerg-soeg-grown
# WHY is the reason of the run for the journal.
WHY ?= regression run

.PHONY: regression

regression:
	for s in $(REGRESSION_SITES); do \
		$(FLEETBENCH) score $(SITES)/$$s.toml --jobs $(JOBS) --why "$(WHY)" || exit 1; \
	done
