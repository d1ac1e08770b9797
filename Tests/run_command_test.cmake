# Runs one command test; see hemlockwick_command_test in Tests/CMakeLists.txt.
file(STRINGS ${CASE}/command.txt arguments)
execute_process(
  COMMAND ${PROGRAM} ${arguments}
  WORKING_DIRECTORY ${CASE}
  RESULT_VARIABLE result
  OUTPUT_VARIABLE actual_stdout
  ERROR_VARIABLE actual_stderr
  TIMEOUT 60)

set(failures "")
if(EXISTS ${CASE}/result.txt)
  file(STRINGS ${CASE}/result.txt expected_result)
else()
  set(expected_result 0)
endif()
if(NOT result STREQUAL expected_result)
  string(APPEND failures "result is ${result}, expected ${expected_result}\n")
endif()

foreach(stream stdout stderr)
  if(NOT EXISTS ${CASE}/${stream}.txt)
    continue()
  endif()
  file(READ ${CASE}/${stream}.txt expected)
  string(REGEX REPLACE "\n+$" "" expected "${expected}")
  string(REGEX REPLACE "\n+$" "" actual "${actual_${stream}}")
  if(NOT actual MATCHES "^${expected}$")
    string(APPEND failures "${stream} does not match\n${expected}\n")
  endif()
endforeach()

if(failures)
  message(FATAL_ERROR "${failures}"
          "stdout:\n${actual_stdout}\nstderr:\n${actual_stderr}")
endif()
