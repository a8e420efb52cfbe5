#ifndef ENDIVEHINGE_TESTS_GATEWAY_SNAPSHOT_RUN_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_SNAPSHOT_RUN_HPP

#include "gateway_fleet.hpp"

namespace endivehinge::tests
{

/// @brief reads the current configuration from the store of a fleet over a link
/// that delays each chunk of bytes, and waits for the end of the read
/// @return whether the configuration arrived
/// @note thread safety: none; runs the event loop of the fleet
[[nodiscard]] bool reads_configuration_over(gateway_fleet & fleet,
                                            duration chunk_delay);

} // namespace endivehinge::tests

#endif
