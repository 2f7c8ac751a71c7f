# Read right after the project() command; the targets of the project are defined later.
cmake_language(DEFER DIRECTORY ${CMAKE_SOURCE_DIR} CALL include ${CMAKE_SOURCE_DIR}/review/rig/target.cmake)
