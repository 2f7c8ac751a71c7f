# firefly_add_module(Name SOURCES a.cpp ... DEPENDS Core ... PRIVATE_LINK pkg ... LINK pkg ...)
#
# Declares the static library firefly_<Name> (alias fireflyswitch::<Name>) for the folder
# src/<Name>; without SOURCES it is a header-only (INTERFACE) library.  DEPENDS lists the modules
# that it uses: the DEPENDS lists of all calls form the dependency graph of the modules.
function(firefly_add_module name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS;LINK;PRIVATE_LINK" ${ARGN})
    set(target firefly_${name})
    if(arg_SOURCES)
        add_library(${target} STATIC ${arg_SOURCES})
        set(scope PUBLIC)
        target_link_libraries(${target} PRIVATE ${arg_PRIVATE_LINK})
        target_compile_options(${target} PRIVATE ${FIREFLY_WARNINGS})
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    add_library(fireflyswitch::${name} ALIAS ${target})
    set_target_properties(${target} PROPERTIES EXPORT_NAME ${name})
    target_compile_features(${target} ${scope} cxx_std_20)
    target_include_directories(${target} ${scope}
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}/fireflyswitch>)
    foreach(dep ${arg_DEPENDS})
        target_link_libraries(${target} ${scope} firefly_${dep})
    endforeach()
    target_link_libraries(${target} ${scope} ${arg_LINK})
    install(TARGETS ${target} EXPORT fireflyswitchTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    set_property(GLOBAL APPEND PROPERTY FIREFLY_MODULES ${target})
endfunction()
