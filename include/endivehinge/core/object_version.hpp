#ifndef ENDIVEHINGE_CORE_OBJECT_VERSION_HPP
#define ENDIVEHINGE_CORE_OBJECT_VERSION_HPP

#include <cstdint> // uint64_t
#include <ostream> // ostream
#include <utility> // move

#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief counts the restores of the store; 0: not known. Within an era,
/// revisions only rise; a restore begins an era whose revisions may lie below
/// earlier ones
using store_era = strong_type<struct store_era_tag, std::uint64_t>;

/// @brief a position in the history of the platform's store: an era and a
/// revision in it, ordered by the era first
///
/// A position without an era, e.g. of a store or a node that states none, is
/// older than any position with one.
/// @note thread safety: const methods, any thread
class object_version
{
public:
    object_version() = default;

    /// @brief a position of unknown era
    explicit object_version(std::uint64_t initial_revision)
        : revision(initial_revision)
    {
    }

    object_version(store_era initial_era, std::uint64_t initial_revision)
        : position_era(initial_era)
        , revision(initial_revision)
    {
    }

    [[nodiscard]] store_era era() const
    {
        return this->position_era;
    }

    /// @brief the revision, for requests, messages and the log; only
    /// comparable with revisions of the same era
    [[nodiscard]] std::uint64_t const & value() const
    {
        return this->revision;
    }

    friend bool operator==(object_version const & a, object_version const & b)
    {
        return a.position_era == b.position_era && a.revision == b.revision;
    }

    friend bool operator!=(object_version const & a, object_version const & b)
    {
        return !(a == b);
    }

    friend bool operator<(object_version const & a, object_version const & b)
    {
        return a.position_era != b.position_era
                   ? a.position_era < b.position_era
                   : a.revision < b.revision;
    }

    friend bool operator>(object_version const & a, object_version const & b)
    {
        return b < a;
    }

    friend bool operator<=(object_version const & a, object_version const & b)
    {
        return !(b < a);
    }

    friend bool operator>=(object_version const & a, object_version const & b)
    {
        return !(a < b);
    }

    /// @brief writes the revision, after the era and a dot if that is known
    friend std::ostream & operator<<(std::ostream & out,
                                     object_version const & v)
    {
        if (v.position_era != store_era())
        {
            out << v.position_era << '.';
        }
        return out << v.revision;
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, object_version const & v) // NOLINT
    {
        return Hash::combine(std::move(state), v.position_era, v.revision);
    }

private:
    store_era position_era;
    std::uint64_t revision = 0;
};

} // namespace endivehinge

#endif
