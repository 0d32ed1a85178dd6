.PHONY: build test demo lint run install

install:
	.ci/install

build: install
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DPINERIDGE_TESTS=ON
	cmake --build build -j4

test: build
	.ci/tests build

demo: build
	build/tests/demo build/pineridge

lint:
	clang-format --dry-run --Werror $$(git ls-files 'src/*.cpp' 'src/*.hpp' 'tests/*.cpp' 'tests/*.hpp' 'standins/*.cpp' 'standins/*.hpp')

run: build
	build/pineridge serve --config $(CONFIG)
