#ifndef ENDIVEHINGE_COORDINATION_CONDITIONAL_WRITER_HPP
#define ENDIVEHINGE_COORDINATION_CONDITIONAL_WRITER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/coordination/object_store.hpp>

namespace endivehinge
{

/// @brief decides whether and when a failed write is retried
class retry_policy
{
public:
    retry_policy() = default;
    retry_policy(retry_policy const &) = delete;
    retry_policy & operator=(retry_policy const &) = delete;
    virtual ~retry_policy() = default;

    /// @brief blocks for the delay before the next attempt
    /// @param failures number of consecutive failed attempts, from 1
    /// @return false if no further attempt shall be made
    [[nodiscard]] virtual bool wait(int failures) = 0;
};

/// @brief writes an object at most once, even if the response to the write is
///        lost
/// @note thread safety: any thread; blocks on I/O
class conditional_writer
{
public:
    /// @param store must outlive the writer
    /// @param policy must outlive the writer
    conditional_writer(object_store & store, retry_policy & policy);

    /// @brief writes an object if its version is still the expected one
    /// @param expected version that was read; 0 creates the object
    /// @param value must be unique to this write, for instance through
    ///        configuration_entry::write_id: after a lost response the object
    ///        is read back and compared with it
    /// @param reason version_conflict if another write came first, with the
    ///        stored value as detail; outcome_unknown if the write may or may
    ///        not have taken effect because the platform stayed unavailable
    /// @return version of the write
    [[nodiscard]] std::optional<object_version> put(std::string const & kind,
                                                    std::string const & name,
                                                    object_version expected,
                                                    std::string const & value,
                                                    failure & reason);

    /// @brief removes an object if its version is still the expected one
    /// @param reason as for put()
    /// @return version of the removal; the expected version if an earlier
    ///         attempt removed the object and its response was lost
    [[nodiscard]] std::optional<object_version> remove(std::string const & kind,
                                                       std::string const & name,
                                                       object_version expected,
                                                       failure & reason);

private:
    object_store & store;
    retry_policy & policy;
};

} // namespace endivehinge

#endif
