.PHONY: packages build test sanitize sanitize-simulation demo bench format lint

BUILD ?= build

packages:
	@bash tools/packages.sh

build: packages
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo $(CMAKE_FLAGS) --log-level=WARNING > /dev/null
	@cmake --build $(BUILD) -j $$(nproc)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure

# Builds and runs all tests with a sanitizer: "address" (and undefined behaviour) or "thread".
SANITIZER ?= address
sanitize:
	@$(MAKE) test BUILD=build-$(SANITIZER) CMAKE_FLAGS=-DFULMAR_SANITIZE=$(SANITIZER)

# The same for the simulation tests only, which need neither the programs nor sockets.
sanitize-simulation: packages
	@cmake -S . -B build-simulation-$(SANITIZER) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DFULMAR_HOST_ONLY=ON \
		-DFULMAR_SANITIZE=$(SANITIZER) --log-level=WARNING > /dev/null
	@cmake --build build-simulation-$(SANITIZER) -j $$(nproc) --target fulmar_simulation_tests
	@build-simulation-$(SANITIZER)/fulmar_simulation_tests $(SIMULATION_TESTS)

demo: build
	@BUILD=$(BUILD) python3 tools/demo.py

bench: build
	@$(BUILD)/fulmarwind-bench

format:
	@bash tools/format.sh --fix

lint: build
	@bash tools/format.sh
	@bash tools/tidy.sh
