# Helpers that give every library, tool and test the same warnings, sanitizers and layout.

add_library(bp_options INTERFACE)
target_compile_options(bp_options INTERFACE -Wall -Wextra -Wpedantic
                       -Wno-missing-field-initializers)
if(BP_WERROR)
  target_compile_options(bp_options INTERFACE -Werror)
endif()
if(BP_SANITIZE)
  string(REPLACE ";" "," bp_sanitizers "${BP_SANITIZE}")
  target_compile_options(bp_options INTERFACE -fsanitize=${bp_sanitizers} -fno-omit-frame-pointer
                                              -fno-sanitize-recover=all)
  target_link_options(bp_options INTERFACE -fsanitize=${bp_sanitizers})
endif()

# bp_library(NAME [DEPENDS target...] [PRIVATE target...]): libs/NAME with include/NAME, src and tests.
# Tests: each tests/*Test.cpp becomes one CTest entry "NAME.<file>".
function(bp_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  add_library(bp_${name} STATIC ${sources})
  add_library(boragepitch::${name} ALIAS bp_${name})
  set_target_properties(bp_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(
    bp_${name} PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
                      $<INSTALL_INTERFACE:include/boragepitch>)
  target_link_libraries(bp_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads
                                   PRIVATE ${ARG_PRIVATE} $<BUILD_INTERFACE:bp_options>)
  target_compile_features(bp_${name} PUBLIC cxx_std_20)
  set_property(GLOBAL APPEND PROPERTY BP_LIBRARIES bp_${name})
  set_property(GLOBAL APPEND PROPERTY BP_HEADER_DIRS ${CMAKE_CURRENT_SOURCE_DIR}/include/)
  bp_tests(${name} LIBS bp_${name})
endfunction()

# bp_tests(PREFIX LIBS target...): one executable and CTest entry for each tests/*Test.cpp.
function(bp_tests prefix)
  if(NOT BP_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS tests/*Test.cpp)
  foreach(test ${tests})
    get_filename_component(stem ${test} NAME_WE)
    add_executable(${prefix}_${stem} ${test})
    target_compile_definitions(${prefix}_${stem} PRIVATE BOOST_TEST_DYN_LINK)
    target_include_directories(${prefix}_${stem} PRIVATE ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${prefix}_${stem} PRIVATE ${ARG_LIBS} bp_options
                                                    boost_unit_test_framework rapidcheck)
    add_test(NAME ${prefix}.${stem} COMMAND ${prefix}_${stem})
    # The seed is fixed so that every run checks the same cases.
    set_tests_properties(${prefix}.${stem} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20260412 max_success=200"
                                                      TIMEOUT 300 LABELS unit)
  endforeach()
endfunction()

# bp_program(NAME SOURCES file... LIBS target...): an executable in bin/.
function(bp_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LIBS} bp_options ${DOCOPT})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
