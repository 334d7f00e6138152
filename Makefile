# Commands for developers and users; each one works in a fresh clone.
SUDO := $(shell [ "$$(id -u)" = 0 ] || echo sudo)
MISSING := $(shell dpkg-query -W -f='$${Package} $${db:Status-Status}\n' $$(cat packages.txt) 2>/dev/null \
	| awk '$$2=="installed"{print $$1}' | sort | comm -13 - packages.txt | tr '\n' ' ')
SOURCES := git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '/generated/'

.PHONY: install build demo test format format-check lint bench-policy bench-requests bench-control bench-capacity capacity-plot clean

install:
	@if [ -n "$(strip $(MISSING))" ]; then $(SUDO) apt-get update -q && $(SUDO) apt-get install -y -q --no-install-recommends $(MISSING); fi

build: install
	cmake --preset release
	cmake --build --preset release

# One instance with stand-in workers and executors on the loopback address: a gang of 16 accelerators and one request.
demo: build
	scripts/demo.sh

test: build
	ctest --preset release

format:
	$(SOURCES) | xargs clang-format -i

format-check:
	$(SOURCES) | xargs clang-format --dry-run --Werror

# LINT_FILES limits the check to the given files: make lint LINT_FILES='a.cpp b.cpp'
lint:
	cmake --preset release >/dev/null
	$(if $(LINT_FILES),echo $(LINT_FILES) | tr ' ' '\n',git ls-files --cached --others --exclude-standard '*.cpp' | grep -v '/generated/') \
		| xargs -P $$(nproc) -n 1 clang-tidy -p build/release --quiet

# Measures the scheduling policy; for one seed: make bench-policy ARGS="--seed 7"
bench-policy: install
	cmake --preset release >/dev/null
	cmake --build --preset release --target bench_policy
	build/release/benchmarks/policy/bench_policy $(ARGS)

# Measures requests through instances on the loopback address: make bench-requests ARGS="--seed 7"
bench-requests: install
	cmake --preset release >/dev/null
	cmake --build --preset release --target bench_requests
	build/release/benchmarks/requests/bench_requests $(ARGS)

# Measures the control plane of three instances on the loopback address: make bench-control ARGS="--seed 7"
bench-control: install
	cmake --preset release >/dev/null
	cmake --build --preset release --target bench-control
	build/release/benchmarks/control/bench-control $(ARGS)

# Measures how the load of the control plane grows, for docs/CAPACITY.md; takes about eight minutes.
bench-capacity: install
	cmake --preset release >/dev/null
	cmake --build --preset release --target bench-capacity
	build/release/benchmarks/control/bench-capacity $(ARGS)

# Draws docs/capacity.svg from the last run of bench-capacity.
capacity-plot: install
	gnuplot -e "table='build/bench/capacity.json.tsv'" benchmarks/control/plot_capacity.gp

clean:
	rm -rf build
