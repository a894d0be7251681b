# Commands a newcomer needs: make demo, make check.  "make help" lists all.

# VARIANT names the kind of build: rel, or san with AddressSanitizer and
# UBSan.  Each has its own folder, so that they don't disturb one another.
VARIANT ?= rel
BUILD := build/$(VARIANT)

CC := gcc
CXX := g++
CLANG := clang
PKGS := libh2o libuv libtirpc jansson libxxhash argtable2 libcrypto libssl
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lm

DEFS := -D_GNU_SOURCE -DH2O_USE_LIBUV=1 -Isrc -Iinclude -Itest -I.
WARN := -Wall -Wextra -Werror -Wno-unused-parameter -Wno-missing-field-initializers
OPT.rel := -O2 -g
OPT.san := -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer
# Coverage-guided fuzzing needs clang.
OPT.fuzz := -O1 -g -fsanitize=fuzzer-no-link,address,undefined \
	-fno-sanitize-recover=undefined
ifeq ($(VARIANT),fuzz)
CC := $(CLANG)
endif
OPT := $(OPT.$(VARIANT))
CFLAGS := -std=gnu11 $(OPT) $(WARN) $(DEFS) $(PKG_CFLAGS)
CXXFLAGS := -std=c++17 $(OPT) $(WARN) $(DEFS) $(PKG_CFLAGS)
LDFLAGS := $(OPT)

LIB_SRC := $(sort $(filter-out src/cmd/%,$(wildcard src/*/*.c)))
LIB := $(BUILD)/libbrf.a
PROGRAMS := bulrushfordd bulrushctl
PLATFORM_SRC := $(sort $(wildcard platform/*.c))
STANDINS := $(notdir $(patsubst %/,%,$(wildcard standin/*/)))
# Without the program itself, for its tests.
PLATFORM_PARTS := $(filter-out platform/main.c,$(PLATFORM_SRC))
TEST_SRC := $(sort $(wildcard test/*.cc platform/test/*.cc))

FUZZ_SRC := $(sort $(wildcard fuzz/*.c platform/test/fuzz/*.c))
GENERATED := src/wire/proto.h src/wire/proto_xdr.c
C_FILES := $(filter-out $(GENERATED),$(sort $(wildcard src/*/*.[ch] \
	include/*.h platform/*.[ch] platform/test/fuzz/*.c standin/*/*.[ch] \
	fuzz/*.[ch] bench/*.[ch])))
CC_FILES := $(sort $(wildcard test/*.cc test/*.h platform/test/*.cc))

objs = $(patsubst %,$(BUILD)/%.o,$(1))
bins = $(addprefix $(BUILD)/bin/,$(1))

all: $(call bins,$(PROGRAMS) bulrushford-node $(STANDINS))

help:
	@echo "make demo     install what is missing, build, show a fleet at work"
	@echo "make check    build and run all tests"
	@echo "make bench    measure; SCENARIO=name for one scenario"
	@echo "make fuzz     longer fuzzing; SEED=n SECONDS=n"
	@echo "make soak     random faults on real processes; SEED=n SECONDS=n NODES=n"
	@echo "make fuzz-smoke  bounded, seeded fuzzing as in CI"
	@echo "make format   rewrite sources in house style"
	@echo "make lint     formatter and linter, without changing anything"
	@echo "make proto    generate the inner protocol's codec again"

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

$(BUILD)/src/wire/proto_xdr.c.o: CFLAGS += -Wno-unused-variable

$(BUILD)/%.c.o: %.c
	@mkdir -p $(@D)
	@echo CC $<
	@$(CC) $(CFLAGS) -MMD -MP -c $< -o $@

$(BUILD)/%.cc.o: %.cc
	@mkdir -p $(@D)
	@echo CXX $<
	@$(CXX) $(CXXFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(call objs,$(LIB_SRC))
	@rm -f $@
	@ar rcs $@ $^

$(call bins,$(PROGRAMS)): $(BUILD)/bin/%: $(BUILD)/src/cmd/%.c.o $(LIB)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

$(call bins,bulrushford-node): $(call objs,$(PLATFORM_SRC)) $(LIB)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CC) $(LDFLAGS) $^ $(PKG_LIBS) -o $@

# What deploy/system.toml builds: the node alone, under target/.
node: $(call bins,bulrushford-node)

define standin_rule
$$(BUILD)/bin/$(1): $$(call objs,$$(wildcard standin/$(1)/*.c)) $$(LIB)
	@mkdir -p $$(@D)
	@echo LD $$@
	@$$(CC) $$(LDFLAGS) $$^ $$(PKG_LIBS) -o $$@
endef
$(foreach s,$(STANDINS),$(eval $(call standin_rule,$(s))))

# The model of the load, for its tests.
MODEL := standin/brf-whatif/model.c

$(BUILD)/bin/brf_test: $(call objs,$(TEST_SRC) $(PLATFORM_PARTS) $(MODEL)) $(LIB)
	@mkdir -p $(@D)
	@echo LD $@
	@$(CXX) $(LDFLAGS) $^ $(PKG_LIBS) -lrapidcheck -lgtest -lgtest_main \
	    -lpthread -o $@

tests: all $(BUILD)/bin/brf_test

# RapidCheck reads its seed from RC_PARAMS.
check:
	tools/packages
	$(MAKE) -j$$(nproc) tests
	VARIANT=$(VARIANT) tools/check

build/fuzz/bin/%: build/fuzz/fuzz/%.c.o build/fuzz/libbrf.a
	@mkdir -p $(@D)
	@echo LD $@
	@$(CLANG) -fsanitize=fuzzer,address,undefined $^ $(PKG_LIBS) -o $@

build/fuzz/bin/%: build/fuzz/platform/test/fuzz/%.c.o \
    $(patsubst %,build/fuzz/%.o,$(PLATFORM_PARTS)) build/fuzz/libbrf.a
	@mkdir -p $(@D)
	@echo LD $@
	@$(CLANG) -fsanitize=fuzzer,address,undefined $^ $(PKG_LIBS) -o $@

FUZZERS := $(patsubst %.c,build/fuzz/bin/%,$(notdir $(FUZZ_SRC)))
SEED ?= 1
SECONDS ?= 60
NODES ?= 6

fuzzers:
	$(MAKE) -j$$(nproc) VARIANT=fuzz $(FUZZERS)

fuzz-smoke: fuzzers
	tools/fuzz smoke $(SEED)

soak: $(call bins,bulrushford-node)
	BRF_BIN=$(BUILD)/bin tools/soak --seed $(SEED) --seconds $(SECONDS) --nodes $(NODES)

fuzz: fuzzers $(BUILD)/bin/brf_test
	tools/fuzz long $(SEED) $(SECONDS)

proto:
	cd src/wire && rm -f proto.h proto_xdr.c && rpcgen -C -h -o proto.h \
	    proto.x && rpcgen -C -c -o proto_xdr.c proto.x && \
	    sed -i 's/#include "proto.h"/#include "wire\/proto.h"/' proto_xdr.c

format:
	clang-format -i $(C_FILES) $(CC_FILES)

lint:
	@tools/lint $(C_FILES) $(CC_FILES)

demo:
	tools/packages
	$(MAKE) -j$$(nproc) all
	tools/demo

bench:
	$(MAKE) -j$$(nproc) all
	tools/bench $(SCENARIO)

clean:
	rm -rf build

.PHONY: all soak node help tests check fuzzers fuzz-smoke fuzz proto format lint demo \
	bench clean
.DEFAULT_GOAL := all
