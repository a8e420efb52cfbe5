#ifndef ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_HOLDER_HPP
#define ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_HOLDER_HPP

#include <memory>  // shared_ptr
#include <utility> // move

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/configuration.hpp>

namespace endivehinge::detail
{

/// @brief holds the configuration in force, which is replaced atomically
/// @note thread safety: any thread
class configuration_holder
{
public:
    /// @brief returns the configuration in force; never null
    [[nodiscard]] std::shared_ptr<configuration const> current() const
    {
        absl::MutexLock lock(&this->mutex);
        return this->value;
    }

    /// @brief puts a newer configuration in force
    /// @return false if the configuration in force is as new or newer
    bool replace(configuration next)
    {
        auto replacement =
            std::make_shared<configuration const>(std::move(next));
        absl::MutexLock lock(&this->mutex);
        if (replacement->version <= this->value->version)
        {
            return false;
        }
        this->value = std::move(replacement);
        return true;
    }

private:
    mutable absl::Mutex mutex;
    std::shared_ptr<configuration const> value =
        std::make_shared<configuration const>();
};

} // namespace endivehinge::detail

#endif
