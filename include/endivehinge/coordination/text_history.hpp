#ifndef ENDIVEHINGE_COORDINATION_TEXT_HISTORY_HPP
#define ENDIVEHINGE_COORDINATION_TEXT_HISTORY_HPP

#include <cstdint> // uint64_t
#include <deque>   // deque
#include <memory>  // shared_ptr
#include <string>  // string

#include <absl/container/flat_hash_map.h> // flat_hash_map

namespace endivehinge
{

/// @brief the last texts of one object, and the newest compressed for nodes
/// that hold one of the others
///
/// Handles a text that is long and changes often: what a node sends depends on
/// the change instead of the text. Each compressed form is made once.
/// @note pure; not thread-safe, the owner serialises all calls
class text_history
{
public:
    using text_pointer = std::shared_ptr<std::string const>;

    /// @brief names a text, the same in every process; never 0
    [[nodiscard]] static std::uint64_t digest_of(std::string const & text);

    /// @brief makes a text the newest one
    void record(std::string const & text);

    /// @brief the newest text; null if there is none
    [[nodiscard]] text_pointer newest() const;

    /// @brief the digest of the newest text; 0 if there is none
    [[nodiscard]] std::uint64_t newest_digest() const;

    /// @brief whether a text is among the last ones
    [[nodiscard]] bool holds(std::uint64_t digest) const;

    /// @brief the newest text, compressed
    /// @param base_digest the text that the receiver holds; one that is not
    /// among the last texts counts as none
    /// @pre newest() is not null
    [[nodiscard]] std::string const & packed(std::uint64_t base_digest);

private:
    struct known_text
    {
        std::uint64_t digest = 0;
        text_pointer text;
    };

    [[nodiscard]] known_text const * find(std::uint64_t digest) const;

    // the newest first
    std::deque<known_text> texts;
    // by the digest of the base; 0: the text alone
    absl::flat_hash_map<std::uint64_t, std::string> packed_texts;
};

} // namespace endivehinge

#endif
