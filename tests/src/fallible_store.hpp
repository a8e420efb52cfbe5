#ifndef ENDIVEHINGE_TESTS_FALLIBLE_STORE_HPP
#define ENDIVEHINGE_TESTS_FALLIBLE_STORE_HPP

#include <atomic> // atomic

#include <common/object_table.hpp>

namespace endivehinge::tests
{

/// @brief the platform in memory, which can be out
class fallible_store final : public object_store
{
public:
    std::optional<stored_object> get(std::string const & kind,
                                     std::string const & name,
                                     failure & reason) override
    {
        return this->is_unavailable(reason)
                   ? std::nullopt
                   : this->table.get(kind, name, reason);
    }

    std::optional<std::vector<stored_object>> list(std::string const & kind,
                                                   failure & reason) override
    {
        return this->table.list(kind, reason);
    }

    std::optional<object_version> put(std::string const & kind,
                                      std::string const & name,
                                      object_version expected,
                                      std::string const & value,
                                      failure & reason) override
    {
        return this->is_unavailable(reason)
                   ? std::nullopt
                   : this->table.put(kind, name, expected, value, reason);
    }

    std::optional<object_version> remove(std::string const & kind,
                                         std::string const & name,
                                         object_version expected,
                                         failure & reason) override
    {
        return this->table.remove(kind, name, expected, reason);
    }

    std::optional<watch_result> watch(std::string const & kind,
                                      object_version after,
                                      duration wait,
                                      failure & reason) override
    {
        return this->table.watch(kind, after, wait, reason);
    }

    std::atomic<bool> unavailable{false};

private:
    bool is_unavailable(failure & reason) const
    {
        reason = {failure_id::store_unavailable, "test", {}, {}};
        return this->unavailable;
    }

    tools::object_table table;
};

} // namespace endivehinge::tests

#endif
