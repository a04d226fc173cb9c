# Copyright Contributors to the reachlead project.
# SPDX-License-Identifier: Apache-2.0
#
# Functions with which the folders under src/ and platform/ declare their targets.

add_library(reachlead_options INTERFACE)
# GCC 12 reports false mismatched allocations for coroutine frames (GCC bug 103993 and related ones).
option(REACHLEAD_WERROR "Make warnings errors" ON)
target_compile_options(reachlead_options INTERFACE -Wall -Wextra -Wno-mismatched-new-delete
    $<$<BOOL:${REACHLEAD_WERROR}>:-Werror>)
target_compile_definitions(reachlead_options INTERFACE
    BOOST_ASIO_NO_DEPRECATED BOOST_BIND_GLOBAL_PLACEHOLDERS
    REACHLEAD_VERSION="${PROJECT_VERSION}")
target_include_directories(reachlead_options INTERFACE ${PROJECT_SOURCE_DIR}/src/include
    ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
target_link_libraries(reachlead_options INTERFACE Boost::json Boost::program_options fmt::fmt
    OpenSSL::SSL OpenSSL::Crypto Threads::Threads PkgConfig::XXHASH)
if(REACHLEAD_SANITIZE)
    # Sanitizer builds also instrument the standard headers, for which GCC 12 reports false warnings.
    target_compile_options(reachlead_options INTERFACE -fsanitize=${REACHLEAD_SANITIZE}
        -fno-omit-frame-pointer -g1 -Wno-maybe-uninitialized -Wno-tsan
        # GCC takes a unity source for a header, whose types must not use anonymous namespaces.
        $<$<BOOL:${CMAKE_UNITY_BUILD}>:-Wno-subobject-linkage>)
    target_link_options(reachlead_options INTERFACE -fsanitize=${REACHLEAD_SANITIZE})
endif()

# The precompiled header shared by all packages.
add_library(reachlead_pch OBJECT ${CMAKE_CURRENT_LIST_DIR}/pch.cpp)
target_link_libraries(reachlead_pch PUBLIC reachlead_options)
target_precompile_headers(reachlead_pch PRIVATE ${CMAKE_CURRENT_LIST_DIR}/pch.h)

# reachlead_package(name sources...): declares a static library.
function(reachlead_package name)
    add_library(${name} STATIC ${ARGN})
    target_link_libraries(${name} PUBLIC reachlead_options)
    target_precompile_headers(${name} REUSE_FROM reachlead_pch)
endfunction()

# reachlead_program(name sources...): declares a program that links all packages.
function(reachlead_program name)
    add_executable(${name} ${ARGN})
    target_link_libraries(${name} PRIVATE reachlead_caller reachlead_upstream reachlead_peer
        reachlead_operators reachlead_objectapi reachlead_core reachlead_options)
    target_precompile_headers(${name} REUSE_FROM reachlead_pch)
endfunction()
