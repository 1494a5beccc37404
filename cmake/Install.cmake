# Installs the coordination libraries with a CMake package file: find_package(boragepitch).
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)
get_property(bp_libraries GLOBAL PROPERTY BP_LIBRARIES)
get_property(bp_header_dirs GLOBAL PROPERTY BP_HEADER_DIRS)
install(TARGETS ${bp_libraries} EXPORT boragepitchTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY ${bp_header_dirs} DESTINATION include/boragepitch)
install(EXPORT boragepitchTargets NAMESPACE boragepitch:: DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/boragepitch)
configure_package_config_file(cmake/boragepitchConfig.cmake.in ${CMAKE_BINARY_DIR}/boragepitchConfig.cmake
                              INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/boragepitch)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/boragepitchConfigVersion.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/boragepitchConfig.cmake ${CMAKE_BINARY_DIR}/boragepitchConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/boragepitch)
