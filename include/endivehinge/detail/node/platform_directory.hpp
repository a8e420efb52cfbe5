#ifndef ENDIVEHINGE_DETAIL_NODE_PLATFORM_DIRECTORY_HPP
#define ENDIVEHINGE_DETAIL_NODE_PLATFORM_DIRECTORY_HPP

#include <string> // string
#include <thread> // thread

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/coordination/object_store.hpp>

namespace endivehinge::detail
{

/// @brief members as objects of the platform, one a node
class platform_directory final : public member_directory
{
public:
    /// @param store outlives the directory
    explicit platform_directory(object_store & store);
    ~platform_directory() override;

    /// @brief says something of this node; sent with the next exchange
    /// @note thread safety: any thread
    void announce(member const & self);

    /// @brief begins to exchange with the platform on a thread of its own
    void start();

    /// @brief takes this node out of the list and ends the thread
    void stop();

    [[nodiscard]] member_snapshot snapshot() const override;

private:
    void run();
    void publish();
    void refresh();

    object_store & store;
    mutable absl::Mutex mutex;
    member self;
    member_snapshot members = std::make_shared<std::vector<member> const>();
    bool stopping = false;
    std::string published;
    object_version published_version;
    std::thread worker;
};

} // namespace endivehinge::detail

#endif
