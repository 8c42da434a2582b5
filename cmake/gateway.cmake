# Ids, units, errors and hashes, shared by all programs.
file(GLOB BASE_SOURCES CONFIGURE_DEPENDS src/pollenstream/core/*.cpp)
add_library(pollenstream_base STATIC ${BASE_SOURCES})
target_include_directories(pollenstream_base PUBLIC src)
target_link_libraries(pollenstream_base
  PUBLIC Threads::Threads PkgConfig::URCU PkgConfig::XXHASH)

# Decisions of the gateway: no transport, no real clock.
file(GLOB GATEWAY_CORE_SOURCES CONFIGURE_DEPENDS
  src/pollenstream/exchange/*.cpp src/pollenstream/registry/*.cpp
  src/pollenstream/peers/*.cpp src/pollenstream/observation/*.cpp
  src/pollenstream/scheduling/*.cpp src/pollenstream/handover/*.cpp)
add_library(gateway_core STATIC ${GATEWAY_CORE_SOURCES})
target_link_libraries(gateway_core
  PUBLIC pollenstream_base nlohmann_json::nlohmann_json ZLIB::ZLIB)

# HTTP and datagrams over sockets, with limits on all that is received.
file(GLOB ASIO_SOURCES CONFIGURE_DEPENDS src/pollenstream/adapters/asio/*.cpp)
add_library(asio_adapters STATIC ${ASIO_SOURCES})
target_link_libraries(asio_adapters PUBLIC pollenstream_base)

# Logs, and the platform's names.
file(GLOB GATEWAY_PART_SOURCES CONFIGURE_DEPENDS
  src/pollenstream/adapters/spdlog/*.cpp platform/*.cpp apps/gateway/*.cpp)
list(FILTER GATEWAY_PART_SOURCES EXCLUDE REGEX "main\\.cpp$")
add_library(gateway_parts STATIC ${GATEWAY_PART_SOURCES})
target_include_directories(gateway_parts PUBLIC platform apps/gateway)
target_link_libraries(gateway_parts
  PUBLIC gateway_core asio_adapters PkgConfig::SPDLOG)

add_executable(pollenstream-gateway apps/gateway/main.cpp)
target_link_libraries(pollenstream-gateway PRIVATE gateway_parts docopt)
