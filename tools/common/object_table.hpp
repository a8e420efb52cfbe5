#ifndef ENDIVEHINGE_TOOLS_COMMON_OBJECT_TABLE_HPP
#define ENDIVEHINGE_TOOLS_COMMON_OBJECT_TABLE_HPP

#include <cstdint> // uint64_t
#include <deque>   // deque
#include <map>     // map
#include <string>  // string
#include <utility> // pair
#include <vector>  // vector

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/object_store.hpp>

namespace endivehinge::tools
{

/// @brief the platform stand-in's objects, in memory
/// @note thread safety: any thread
class object_table final : public object_store
{
public:
    [[nodiscard]] std::optional<stored_object> get(std::string const & kind,
                                                   std::string const & name,
                                                   failure & reason) override;

    [[nodiscard]] std::optional<std::vector<stored_object>>
    list(std::string const & kind, failure & reason) override;

    [[nodiscard]] std::optional<object_version> put(std::string const & kind,
                                                    std::string const & name,
                                                    object_version expected,
                                                    std::string const & value,
                                                    failure & reason) override;

    [[nodiscard]] std::optional<object_version>
    remove(std::string const & kind,
           std::string const & name,
           object_version expected,
           failure & reason) override;

    [[nodiscard]] std::optional<watch_result> watch(std::string const & kind,
                                                    object_version after,
                                                    duration patience,
                                                    failure & reason) override;

    /// @brief the version of the newest change
    [[nodiscard]] object_version latest() const;

    /// @brief an object as it was at an earlier version
    /// @return nothing where it did not exist, or the history has dropped it
    [[nodiscard]] std::optional<stored_object>
    get_at(std::string const & kind,
           std::string const & name,
           object_version when) const;

    /// @brief the objects of a kind as they were at an earlier version
    [[nodiscard]] std::vector<stored_object> list_at(std::string const & kind,
                                                     object_version when) const;

private:
    std::optional<stored_object>
    find_at(std::pair<std::string, std::string> const & key,
            object_version when) const;
    std::optional<object_version>
    write(stored_object next, object_version expected, failure & reason);
    std::vector<stored_object> changes_after(std::string const & kind,
                                             object_version after) const;

    mutable absl::Mutex mutex;
    std::uint64_t newest = 0;
    std::map<std::pair<std::string, std::string>, stored_object> objects;
    // the newest changes, oldest first
    std::deque<stored_object> history;
};

} // namespace endivehinge::tools

#endif
