# Declares the static library NAME from src/*.cpp, with its public header folder include/, and the
# Criterion tests NAME-tests from tests/*.cpp. Further arguments are the libraries it depends on.
function(citronspoke_library NAME)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(${NAME} STATIC ${sources})
  target_include_directories(${NAME} PUBLIC include PRIVATE src)
  target_link_libraries(${NAME} PUBLIC ${ARGN})
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(tests AND NOT CITRONSPOKE_PLATFORM_ONLY)
    citronspoke_test(${NAME}-tests ${tests})
    target_include_directories(${NAME}-tests PRIVATE src)
    target_link_libraries(${NAME}-tests PRIVATE ${NAME} ${RAPIDCHECK})
  endif()
endfunction()

# Declares a Criterion test program and registers it with ctest, which runs four of its tests at a
# time, or JOBS.
function(citronspoke_test NAME)
  cmake_parse_arguments(TEST "" "JOBS" "" ${ARGN})
  if(NOT TEST_JOBS)
    set(TEST_JOBS 4)
  endif()
  add_executable(${NAME} ${TEST_UNPARSED_ARGUMENTS})
  target_link_libraries(${NAME} PRIVATE PkgConfig::CRITERION)
  add_test(NAME ${NAME} COMMAND ${NAME} -j${TEST_JOBS})
endfunction()
