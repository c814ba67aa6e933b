.PHONY: packages build test sanitize demo bench format lint

BUILD ?= build

packages:
	@bash tools/packages.sh

build: packages
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo $(CMAKE_FLAGS) --log-level=WARNING > /dev/null
	@cmake --build $(BUILD) -j $$(nproc)

test: build
	@ctest --test-dir $(BUILD) --output-on-failure

# Builds and runs the tests with AddressSanitizer and UndefinedBehaviorSanitizer.
sanitize:
	@$(MAKE) test BUILD=build-sanitize CMAKE_FLAGS=-DFULMAR_SANITIZE=ON

demo: build
	@BUILD=$(BUILD) python3 tools/demo.py

bench: build
	@$(BUILD)/fulmarwind-bench

format:
	@bash tools/format.sh --fix

lint: build
	@bash tools/format.sh
	@bash tools/tidy.sh
