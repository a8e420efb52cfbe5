#ifndef ENDIVEHINGE_CORE_IDS_HPP
#define ENDIVEHINGE_CORE_IDS_HPP

#include <cstdint> // uint64_t
#include <string>  // string

#include <endivehinge/core/object_version.hpp>
#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief a node's name from its settings; each target has its own node
using node_name = strong_type<struct node_name_tag, std::string>;

/// @brief one process lifetime of a node; increases with each restart
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// @brief a service in the operators' configuration
using service_name = strong_type<struct service_name_tag, std::string>;

/// @brief a group of instances that can fail together
using failure_domain = strong_type<struct failure_domain_tag, std::string>;

/// @brief a group of failure domains close to each other
using region_name = strong_type<struct region_name_tag, std::string>;

/// @brief identifies a request, unique across all nodes and incarnations
using request_id = strong_type<struct request_id_tag, std::string>;

/// @brief identifies an incarnation of a target; usually changes on a restart
using target_id = strong_type<struct target_id_tag, std::string>;

/// @brief identifies a request that runs at most once; chosen by the caller
using idempotency_key = strong_type<struct idempotency_key_tag, std::string>;

/// @brief a generation of the assignment of key owners; never decreases
using epoch = strong_type<struct epoch_tag, std::uint64_t>;

/// @brief a client account in the operators' configuration
using account_name = strong_type<struct account_name_tag, std::string>;

/// @brief identifies the key of a client account without revealing it
using account_key_digest =
    strong_type<struct account_key_digest_tag, std::uint64_t>;

/// @brief the version of the software that a target runs
using software_version = strong_type<struct software_version_tag, std::string>;

/// @brief a digest of a request's content, to recognise crashing requests
using request_fingerprint =
    strong_type<struct request_fingerprint_tag, std::uint64_t>;

} // namespace endivehinge

#endif
