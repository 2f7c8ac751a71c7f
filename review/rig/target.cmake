# Included by review/build.sh at the end of the project's own build files: adds the rig of the
# review to the build folder of the deploy file.
add_executable(review-rig EXCLUDE_FROM_ALL
    ${CMAKE_CURRENT_LIST_DIR}/main.cpp ${CMAKE_CURRENT_LIST_DIR}/Fleet.cpp
    ${CMAKE_CURRENT_LIST_DIR}/Process.cpp ${CMAKE_CURRENT_LIST_DIR}/Worker.cpp
    ${PROJECT_SOURCE_DIR}/soak/LinkProxy.cpp)
target_link_libraries(review-rig PRIVATE firefly_platform_standins firefly_Adapters firefly_Http
                      nlohmann_json::nlohmann_json Threads::Threads)
target_include_directories(review-rig PRIVATE ${PROJECT_SOURCE_DIR})
target_compile_options(review-rig PRIVATE ${FIREFLY_WARNINGS})
