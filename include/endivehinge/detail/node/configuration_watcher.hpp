#ifndef ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_WATCHER_HPP
#define ENDIVEHINGE_DETAIL_NODE_CONFIGURATION_WATCHER_HPP

#include <thread> // thread

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/configuration_state.hpp>
#include <endivehinge/coordination/object_store.hpp>
#include <endivehinge/detail/node/configuration_assembler.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>

namespace endivehinge::detail
{

/// @brief keeps the configuration in force up to the platform's
class configuration_watcher
{
public:
    /// @param store outlives the watcher
    /// @param holder outlives the watcher
    configuration_watcher(object_store & store, configuration_holder & holder);
    configuration_watcher(configuration_watcher const &) = delete;
    configuration_watcher & operator=(configuration_watcher const &) = delete;
    ~configuration_watcher();

    /// @brief begins to watch on a thread of its own
    void start();

    /// @brief ends the thread
    void stop();

private:
    void run();
    void refresh();

    object_store & store;
    configuration_holder & holder;
    configuration_state state;
    configuration_assembler assembler;
    absl::Mutex mutex;
    bool stopping = false;
    std::thread worker;
};

} // namespace endivehinge::detail

#endif
