#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPLICA_EXCHANGE_HPP

#include <array>    // array
#include <optional> // optional

#include <endivehinge/coordination/object_changes.hpp>
#include <endivehinge/coordination/text_history.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>

namespace endivehinge::detail
{

/// @brief the content of an object, compressed
struct packed_content
{
    std::string object;
    // the text that the content was compressed with; 0: none
    std::uint64_t base_digest = 0;
    std::string bytes;
};

/// @brief changes to the store copies that one node sends to another
struct replica_exchange
{
    // indexed by object_kind, without the roll-outs; version 0: the
    // requester's copy is up to date
    std::array<object_changes, 3> kinds;
    // the same for the roll-outs; empty if the requester replicates none
    std::optional<object_changes> rollouts;
    // since the last response of the store to this node or to the node that it
    // replicates from
    duration age{0};
    // whether this node, or the node that it replicates from, reaches the store
    // whether configuration_age is stated; only if there are client accounts
    bool states_configuration_age = false;
    // age of the node's knowledge that its configuration is the current one;
    // empty if it has none
    std::optional<duration> configuration_age;
    bool in_contact = false;
    // kinds whose changes this node has no capacity to send; the requester
    // reads them from the store
    std::array<bool, 3> deferred{};
    bool rollouts_deferred = false;

    // the content of the active configuration, which its object then lacks;
    // empty: all content is in the objects
    std::optional<packed_content> packed;

    /// @brief the length of the objects to send, in bytes
    /// @note thread safety: const; any thread
    [[nodiscard]] std::size_t content_size() const;

    /// @brief sends the active configuration compressed if it is to be sent
    /// @param base_digest the text that the requester holds
    /// @note thread safety: none
    void pack(text_history & texts, std::uint64_t base_digest);

    /// @brief marks all changes as deferred instead of sending them
    /// @note thread safety: none
    void defer();

    /// @brief whether a request is for these changes
    /// @note thread safety: any thread
    [[nodiscard]] static bool is_request(request_message const & message);

    /// @brief creates a request for changes newer than these versions
    /// @note thread safety: any thread
    /// @param held_digest names the text of the active configuration of the
    /// requester; 0: it has none
    [[nodiscard]] static request_message
    write_request(replica_versions const & known_versions,
                  std::uint64_t held_digest);

    /// @brief the text that the requester holds, 0 for none
    /// @return no value if it reads no compressed content, like earlier
    /// versions
    /// @note thread safety: any thread
    [[nodiscard]] static std::optional<std::uint64_t>
    read_held_digest(request_message const & message);

    /// @brief whether a request contains eras; those of earlier versions do not
    /// @note thread safety: any thread
    [[nodiscard]] static bool states_eras(request_message const & message);

    /// @brief reads the versions of a request; 0 for a malformed one
    /// @note thread safety: any thread
    [[nodiscard]] static replica_versions
    read_request(request_message const & message);

    /// @brief writes the body of the response
    /// @note thread safety: const; any thread
    [[nodiscard]] std::string write() const;

    /// @brief reads the body of a response
    /// @param held_text the text that the request named, or null
    /// @param reason invalid_message if the body is malformed
    /// @note thread safety: any thread
    [[nodiscard]] static std::optional<replica_exchange>
    read(std::string const & body,
         text_history::text_pointer const & held_text,
         failure & reason);

private:
    [[nodiscard]] object_changes & configuration();
    /// @return false if the content cannot be restored
    [[nodiscard]] bool unpack(text_history::text_pointer const & held_text);
};

} // namespace endivehinge::detail

#endif
