#ifndef ENDIVEHINGE_TOOLS_COMMON_BEHAVIOUR_HOLDER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_BEHAVIOUR_HOLDER_HPP

#include <optional> // optional
#include <string>   // string
#include <utility>  // move

#include <absl/synchronization/mutex.h> // Mutex
#include <nlohmann/json.hpp>            // json

#include <endivehinge/core/failure.hpp>

namespace endivehinge::tools
{

/// @brief how a stand-in behaves now, changed by fields of JSON
/// @tparam Behaviour a struct that JSON reads and writes by its fields
/// @note thread safety: any thread
template <class Behaviour>
class behaviour_holder
{
public:
    explicit behaviour_holder(Behaviour first)
        : current(std::move(first))
    {
    }

    /// @brief a copy of what holds now
    [[nodiscard]] Behaviour get() const
    {
        absl::MutexLock lock(&this->mutex);
        return this->current;
    }

    /// @brief changes the fields that are named; all or none
    /// @param text an object of JSON
    /// @param reason the field that does not exist or has the wrong type
    [[nodiscard]] bool change(std::string const & text, failure & reason)
    {
        auto const patch = nlohmann::json::parse(text, nullptr, false);
        if (!patch.is_object())
        {
            reason = {failure_id::invalid_argument, "control", {}, "no object"};
            return false;
        }
        absl::MutexLock lock(&this->mutex);
        nlohmann::json merged = this->current;
        for (auto const & [name, value] : patch.items())
        {
            if (!merged.contains(name) ||
                merged[name].is_number() != value.is_number() ||
                merged[name].is_string() != value.is_string())
            {
                reason = {failure_id::invalid_argument, "control", {}, name};
                return false;
            }
            merged[name] = value;
        }
        this->current = merged.template get<Behaviour>();
        return true;
    }

    /// @brief waits until a condition on the behaviour holds
    /// @return whether it does
    template <class Condition>
    [[nodiscard]] bool await(Condition holds, absl::Duration patience) const
    {
        auto const check = [this, &holds]()
        {
            return holds(this->current);
        };
        absl::MutexLock lock(&this->mutex);
        return this->mutex.AwaitWithTimeout(absl::Condition(&check), patience);
    }

private:
    mutable absl::Mutex mutex;
    Behaviour current;
};

} // namespace endivehinge::tools

#endif
