# habits of this project; each works from a fresh clone
BUILD ?= build
JOBS ?= $(shell nproc)
SEED ?= 1
DURATION_S ?= 20
DEPLOYMENT ?= directorate
FAULTS ?= all
HISTORY ?= $(BUILD)/history.jsonl
SOAKS ?= 50
RESTORES ?= 0
SOURCES = $(shell git ls-files '*.hpp' '*.cpp')

.PHONY: all dependencies build test known-red format format-check lint \
	boundary-check \
	generate demo measure soak clean

all: build

dependencies:
	bash tools/install_dependencies

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja

build: $(BUILD)/build.ninja
	ninja -C $(BUILD) -j $(JOBS)

# runs every test but those of KNOWN-RED.txt
test: build
	cd $(BUILD) && ctest --output-on-failure -j $(JOBS) \
		$$(bash ../tools/known_red_filter ../KNOWN-RED.txt)

# prints the faults that are known and not mended yet
known-red:
	@cat KNOWN-RED.txt

format:
	clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

boundary-check:
	@bash tools/boundary_check

lint: $(BUILD)/build.ninja
	@bash tools/lint $(BUILD) $(JOBS)

# writes the committed messages again; needs protoc and its gRPC plugin
generate:
	cd proto && protoc --cpp_out=../src/generated \
		--grpc_out=../src/generated \
		--plugin=protoc-gen-grpc=$$(command -v grpc_cpp_plugin) \
		coordination.proto

# the fault soak with seeds SEED to SEED + SOAKS - 1
soak: build
	@bash tools/soak $(BUILD) $(SEED) $(SOAKS) $(DURATION_S) $(RESTORES)

demo: dependencies build
	$(BUILD)/bin/demo --deployment $(DEPLOYMENT) --seed $(SEED) \
		--duration_s $(DURATION_S) --faults $(FAULTS) --history $(HISTORY)

measure: build
	bash tools/measure $(BUILD)

clean:
	rm -rf $(BUILD)
