# chervilport_package(NAME [LINK libraries...]): a static library of all .cpp files of the current folder.
function(chervilport_package name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(NOT sources)
    add_library(chervilport_${name} INTERFACE)
    return()
  endif()
  add_library(chervilport_${name} STATIC ${sources})
  target_link_libraries(chervilport_${name} PUBLIC ${ARG_LINK} Threads::Threads)
endfunction()

# chervilport_test(NAME [LINK libraries...]): a Criterion program of all .cpp files of the current folder.
# RapidCheck reads its seed from RC_PARAMS; it is fixed so that every run has the same result.
function(chervilport_test name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name}_tests ${sources})
  target_link_libraries(${name}_tests PRIVATE ${ARG_LINK} criterion rapidcheck Threads::Threads)
  target_compile_definitions(${name}_tests PRIVATE CHERVILPORT_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name}_tests -j2)
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
