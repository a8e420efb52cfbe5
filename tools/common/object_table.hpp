#ifndef ENDIVEHINGE_TOOLS_COMMON_OBJECT_TABLE_HPP
#define ENDIVEHINGE_TOOLS_COMMON_OBJECT_TABLE_HPP

#include <cstdint> // uint64_t
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

private:
    std::optional<object_version>
    write(stored_object next, object_version expected, failure & reason);
    std::vector<stored_object> changes_after(std::string const & kind,
                                             object_version after) const;

    mutable absl::Mutex mutex;
    std::uint64_t newest = 0;
    std::map<std::pair<std::string, std::string>, stored_object> objects;
};

} // namespace endivehinge::tools

#endif
