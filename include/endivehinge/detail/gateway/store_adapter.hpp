#ifndef ENDIVEHINGE_DETAIL_GATEWAY_STORE_ADAPTER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_STORE_ADAPTER_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/replicated_object.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/rollout_entry.hpp>
#include <endivehinge/policy/routing_configuration.hpp>
#include <endivehinge/policy/target_entry.hpp>

namespace endivehinge::detail
{

/// @brief kinds of objects that the gateway reads from the store
enum class object_kind
{
    configuration, // the operators' routes and services
    evacuations,   // one object per evacuated failure domain
    targets,       // one object per node's target, written by the nodes
    // one order per service with its status; read only where the settings have
    // bounds for roll-outs
    rollouts,
};

constexpr std::size_t object_kind_count = 4;

/// @brief the stable name of a kind, used in logs
[[nodiscard]] constexpr char const * to_string(object_kind kind)
{
    constexpr char const * names[object_kind_count] = {
        "configuration", "evacuations", "targets", "rollouts"};
    return names[static_cast<std::size_t>(kind)];
}

/// @brief how recent the data of a read must be
enum class read_freshness
{
    current,
    may_be_stale, // may be seconds old; costs the store a fraction
};

/// @brief a page of a list, or the changes that a watch returned
struct store_page
{
    std::vector<replicated_object> objects;
    // the store version of the page
    object_version version;
    // another page starts after the last name of this one
    bool has_more = false;
};

/// @brief creates requests to the store and parses its responses
/// @note thread safety: const; any thread
class store_adapter
{
public:
    store_adapter() = default;
    store_adapter(store_adapter const &) = delete;
    store_adapter & operator=(store_adapter const &) = delete;
    virtual ~store_adapter() = default;

    /// @param after the last name of the previous page; empty: the first page
    [[nodiscard]] virtual request_message
    list_request(object_kind kind,
                 std::string const & after,
                 read_freshness freshness) const = 0;

    /// @param after requests changes newer than this version
    /// @param wait how long the store waits for a change
    [[nodiscard]] virtual request_message watch_request(
        object_kind kind, object_version after, duration wait) const = 0;

    /// @brief request to create the object of this node's target
    [[nodiscard]] virtual request_message
    create_request(target_entry const & entry) const = 0;

    /// @brief request to replace the object of this node's target
    /// @param expected the version to replace; the store rejects any other
    [[nodiscard]] virtual request_message
    replace_request(target_entry const & entry,
                    object_version expected) const = 0;

    /// @brief request to remove the object of a node's target
    [[nodiscard]] virtual request_message
    remove_request(node_name const & node, object_version expected) const = 0;

    /// @brief request to replace the status of a service's roll-out; the order
    /// stays
    /// @param expected the version to replace; the store rejects any other with
    /// a response that contains the object
    [[nodiscard]] virtual request_message
    status_request(service_name const & service,
                   object_version expected,
                   rollout_status const & status) const = 0;

    /// @brief the era that an answer states, whatever its status
    /// @return nullopt if it states none, or none that can be read
    [[nodiscard]] virtual std::optional<store_era>
    read_era(response_message const & answer) const = 0;

    /// @param era the era that the positions in the body belong to
    /// @param reason invalid_message if the body is malformed
    /// @note the content of an object is its spec; that of a roll-out holds its
    /// status as well
    [[nodiscard]] virtual std::optional<store_page>
    read_page(object_kind kind,
              std::string const & body,
              store_era era,
              failure & reason) const = 0;

    /// @brief reads the object from the response to a write
    /// @param era the era that the positions in the body belong to
    [[nodiscard]] virtual std::optional<replicated_object>
    read_object(object_kind kind,
                std::string const & body,
                store_era era,
                failure & reason) const = 0;

    /// @param previous a configuration that was read before, or null; its
    /// routes that have not changed are not read again
    /// @param reason invalid_configuration if the content is invalid
    [[nodiscard]] virtual std::optional<routing_configuration>
    read_configuration(replicated_object const & object,
                       routing_configuration const * previous,
                       failure & reason) const = 0;

    /// @param reason invalid_message if the content is malformed
    [[nodiscard]] virtual std::optional<target_entry>
    read_target(replicated_object const & object, failure & reason) const = 0;

    /// @brief reads an order and its status; a status that is absent or
    /// malformed counts as none
    /// @param reason invalid_message if the order is malformed
    [[nodiscard]] virtual std::optional<rollout_entry>
    read_rollout(replicated_object const & object, failure & reason) const = 0;

    /// @brief whether an object of kind configuration is the active one
    [[nodiscard]] virtual bool
    is_current_configuration(replicated_object const & object) const = 0;
};

} // namespace endivehinge::detail

#endif
