# Entry points of the project. `make demo` and `make test` set up a fresh machine by themselves.
BUILD := build
JOBS  := $(shell nproc)

.PHONY: all packages configure test demo bench lint format-check format soak golden clean

all: configure
	cmake --build $(BUILD) -j $(JOBS)

packages:
	bash scripts/packages.sh

configure: packages
	@test -f $(BUILD)/build.ninja || cmake -S . -B $(BUILD) -G Ninja

test: all
	BUILD=$(BUILD) JOBS=$(JOBS) bash scripts/test.sh

demo: all
	bash scripts/demo.sh

bench: all
	bash scripts/bench.sh

# SEEDS: number of seeds of the scenarios that run in one process. FAULT_SEEDS: number of seeds of the daemons as processes,
# starting with FIRST, with HOSTS hosts.
SEEDS ?= 1000
FAULT_SEEDS ?= 50
FIRST ?= 1
HOSTS ?= 4
soak: all
	$(BUILD)/bin/catkin-soak --seeds $(SEEDS)
	CATKIN_SOAK_SEEDS=$(FAULT_SEEDS) CATKIN_SOAK_FIRST=$(FIRST) CATKIN_SOAK_HOSTS=$(HOSTS) $(BUILD)/bin/fault_soak_test

golden: all
	CATKIN_UPDATE_GOLDEN=1 ctest --test-dir $(BUILD) -R Golden

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

format-check: packages
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror

lint: configure
	bash scripts/lint.sh

clean:
	rm -rf $(BUILD)
