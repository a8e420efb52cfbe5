#ifndef ENDIVEHINGE_COORDINATION_OBJECT_STORE_HPP
#define ENDIVEHINGE_COORDINATION_OBJECT_STORE_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief an object stored on the platform
struct stored_object
{
    std::string kind;
    std::string name;
    object_version version;
    std::string value;
    bool removed = false;
};

/// @brief the result of a watch call
struct watch_result
{
    std::vector<stored_object> changes;
    // version from which to continue the watch
    object_version version;
};

/// @brief the platform's object API
/// @note every call may fail, and a failed write may still have taken effect
class object_store
{
public:
    object_store() = default;
    object_store(object_store const &) = delete;
    object_store & operator=(object_store const &) = delete;
    virtual ~object_store() = default;

    /// @brief reads one object
    /// @param reason not_found, store_unavailable, rate_limited or timed_out
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] virtual std::optional<stored_object>
    get(std::string const & kind,
        std::string const & name,
        failure & reason) = 0;

    /// @brief reads all objects of a kind
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] virtual std::optional<std::vector<stored_object>>
    list(std::string const & kind, failure & reason) = 0;

    /// @brief writes an object if its version still equals the expected one
    /// @param expected the version that was read; 0 creates the object
    /// @return the new version
    /// @param reason version_conflict if another write came first
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] virtual std::optional<object_version>
    put(std::string const & kind,
        std::string const & name,
        object_version expected,
        std::string const & value,
        failure & reason) = 0;

    /// @brief removes an object if its version still equals the expected one
    /// @return the version of the removal
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] virtual std::optional<object_version>
    remove(std::string const & kind,
           std::string const & name,
           object_version expected,
           failure & reason) = 0;

    /// @brief waits for changes of a kind after a version
    /// @param timeout maximum time to wait for a change
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] virtual std::optional<watch_result>
    watch(std::string const & kind,
          object_version after,
          duration timeout,
          failure & reason) = 0;
};

} // namespace endivehinge

#endif
