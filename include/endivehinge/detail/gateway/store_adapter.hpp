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
#include <endivehinge/policy/routing_configuration.hpp>
#include <endivehinge/policy/target_entry.hpp>

namespace endivehinge::detail
{

/// @brief what the store holds for the gateway
enum class object_kind
{
    configuration, // the operators' routes and services
    evacuations,   // one object for each domain that takes no work
    targets,       // one object for each node's target; nodes write these
};

constexpr std::size_t object_kind_count = 3;

/// @brief the stable name of a kind, as logs and other nodes know it
[[nodiscard]] constexpr char const * to_string(object_kind kind)
{
    constexpr char const * names[object_kind_count] = {
        "configuration", "evacuations", "targets"};
    return names[static_cast<std::size_t>(kind)];
}

/// @brief a page of a list, or what a watch saw
struct store_page
{
    std::vector<replicated_object> objects;
    // the store's version that the page shows
    object_version version;
    // the list continues after the last name
    bool has_more = false;
};

/// @brief requests to the store and its responses
/// @note thread safety: const; any thread
class store_adapter
{
public:
    store_adapter() = default;
    store_adapter(store_adapter const &) = delete;
    store_adapter & operator=(store_adapter const &) = delete;
    virtual ~store_adapter() = default;

    /// @param after the last name of the page before; empty: the first page
    [[nodiscard]] virtual request_message
    list_request(object_kind kind, std::string const & after) const = 0;

    /// @param after changes later than this version are wanted
    /// @param wait how long the store waits for a change
    [[nodiscard]] virtual request_message watch_request(
        object_kind kind, object_version after, duration wait) const = 0;

    /// @brief creates the object of this node's target
    [[nodiscard]] virtual request_message
    create_request(target_entry const & entry) const = 0;

    /// @brief replaces the object of this node's target
    /// @param expected the version that is replaced
    [[nodiscard]] virtual request_message
    replace_request(target_entry const & entry,
                    object_version expected) const = 0;

    /// @brief removes the object of a node's target
    [[nodiscard]] virtual request_message
    remove_request(node_name const & node, object_version expected) const = 0;

    /// @param reason invalid_message where the body does not hold
    [[nodiscard]] virtual std::optional<store_page>
    read_page(std::string const & body, failure & reason) const = 0;

    /// @brief reads the response to a write, which shows the object
    [[nodiscard]] virtual std::optional<replicated_object>
    read_object(std::string const & body, failure & reason) const = 0;

    /// @param reason invalid_configuration where the content does not hold
    [[nodiscard]] virtual std::optional<routing_configuration>
    read_configuration(replicated_object const & object,
                       failure & reason) const = 0;

    /// @param reason invalid_message where the content does not hold
    [[nodiscard]] virtual std::optional<target_entry>
    read_target(replicated_object const & object, failure & reason) const = 0;

    /// @brief whether an object of kind configuration is the one in force
    [[nodiscard]] virtual bool
    is_current_configuration(replicated_object const & object) const = 0;
};

} // namespace endivehinge::detail

#endif
