#ifndef ENDIVEHINGE_CORE_IDS_HPP
#define ENDIVEHINGE_CORE_IDS_HPP

#include <cstdint> // uint64_t
#include <string>  // string

#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief a node, by the name in its settings; one stands beside each target
using node_name = strong_type<struct node_name_tag, std::string>;

/// @brief one run of a node; a later run of the same node is greater
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// @brief a service of the operators' configuration
using service_name = strong_type<struct service_name_tag, std::string>;

/// @brief instances that fail together
using failure_domain = strong_type<struct failure_domain_tag, std::string>;

/// @brief failure domains that are near to each other
using region_name = strong_type<struct region_name_tag, std::string>;

/// @brief one request, unique over all nodes and their runs
using request_id = strong_type<struct request_id_tag, std::string>;

/// @brief one run of a target; a target that starts again usually has another
using target_id = strong_type<struct target_id_tag, std::string>;

/// @brief the caller's name for a request that runs at most once
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;

/// @brief a generation of the assignment of key owners; grows only
using epoch = strong_type<struct epoch_tag, std::uint64_t>;

/// @brief the platform's version of an object; grows only
using object_version = strong_type<struct object_version_tag, std::uint64_t>;

/// @brief a digest of what a request is, for telling crashing requests
using request_fingerprint =
    strong_type<struct request_fingerprint_tag, std::uint64_t>;

} // namespace endivehinge

#endif
