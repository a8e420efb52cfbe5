#ifndef ENDIVEHINGE_COORDINATION_CONDITIONAL_WRITER_HPP
#define ENDIVEHINGE_COORDINATION_CONDITIONAL_WRITER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/coordination/object_store.hpp>

namespace endivehinge
{

/// @brief lets time pass between the tries of a write
class retry_policy
{
public:
    retry_policy() = default;
    retry_policy(retry_policy const &) = delete;
    retry_policy & operator=(retry_policy const &) = delete;
    virtual ~retry_policy() = default;

    /// @brief waits a while after a failed try
    /// @param failures how many in a row, from 1
    /// @return false where no further try is wanted
    [[nodiscard]] virtual bool wait(int failures) = 0;
};

/// @brief writes an object once, also where the answer to the write is lost
/// @note thread safety: any thread; blocks on I/O
class conditional_writer
{
public:
    /// @param store outlives the writer
    /// @param pause outlives the writer
    conditional_writer(object_store & store, retry_policy & pause);

    /// @brief writes an object if its version is still the expected one
    /// @param expected the version that was read; 0 creates
    /// @param value unique to this write, as configuration_entry::write_id
    ///        makes it: by it a lost answer is settled by reading back
    /// @param reason version_conflict where another write came first, with the
    ///        value that won as detail; outcome_unknown where the platform
    ///        stayed away, so that the write may or may not have taken effect
    /// @return the version of the write
    [[nodiscard]] std::optional<object_version> put(std::string const & kind,
                                                    std::string const & name,
                                                    object_version expected,
                                                    std::string const & value,
                                                    failure & reason);

    /// @brief removes an object if its version is still the expected one
    /// @param reason as put
    /// @return the version of the removal; the expected version where an
    ///         earlier try removed it and its answer was lost
    [[nodiscard]] std::optional<object_version> remove(std::string const & kind,
                                                       std::string const & name,
                                                       object_version expected,
                                                       failure & reason);

private:
    object_store & store;
    retry_policy & pause;
};

} // namespace endivehinge

#endif
