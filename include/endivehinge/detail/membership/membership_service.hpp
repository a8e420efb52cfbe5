#ifndef ENDIVEHINGE_DETAIL_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP
#define ENDIVEHINGE_DETAIL_MEMBERSHIP_MEMBERSHIP_SERVICE_HPP

#include <memory> // unique_ptr
#include <thread> // thread
#include <vector> // vector

#include <absl/random/random.h>         // BitGen
#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/contact.hpp>
#include <endivehinge/coordination/member.hpp>
#include <endivehinge/coordination/membership.hpp>
#include <endivehinge/detail/membership/datagram_socket.hpp>
#include <endivehinge/detail/membership/membership_counters.hpp>
#include <endivehinge/detail/membership/membership_listener.hpp>
#include <endivehinge/detail/membership/protobuf_gossip_codec.hpp>

namespace endivehinge::detail
{

/// @brief membership over UDP: one thread that receives and ticks
class membership_service final : public member_directory
{
public:
    /// @param time where it reads the time; outlives the service
    /// @param options alike on all nodes
    explicit membership_service(clock const & time,
                                membership_options options = {});
    ~membership_service() override;

    /// @brief binds the socket
    /// @param control where to listen; port 0 takes a free one
    /// @param reason why it could not be bound
    /// @note call once, before announce
    [[nodiscard]] bool open(endpoint const & control, failure & reason);

    /// @brief where it listens, with the real port
    /// @note call after open; thread safety: any thread
    [[nodiscard]] endpoint const & address() const;

    /// @brief says something of this node
    /// @param self its control address is replaced by the real one; name and
    ///        run are taken from the first call
    /// @note call after open; thread safety: any thread
    void announce(member const & self);

    /// @brief begins to take part, on a thread of its own
    /// @param listener told of events, or null; outlives the thread
    /// @note call once, after the first announce
    void start(membership_listener * listener);

    /// @brief ends the thread; says nothing to others, see leave
    /// @note thread safety: one thread; may be called again
    void stop();

    /// @brief tells others that this node leaves; it hears no more after
    /// @note thread safety: any thread
    void leave();

    /// @brief announces the configuration version that this node holds
    /// @note thread safety: any thread
    void set_configuration_version(object_version version);

    /// @brief asks contacts for the members that they know
    /// @note thread safety: any thread
    void join(std::vector<endpoint> const & contacts);

    /// @brief whether this node knows others and has caught up with them
    /// @note thread safety: any thread
    [[nodiscard]] bool has_joined() const;

    /// @brief whether this node knows no other
    /// @note thread safety: any thread
    [[nodiscard]] bool is_alone() const;

    /// @brief as plan_contacts, with what this node knows now
    /// @note call after the first announce; thread safety: any thread
    [[nodiscard]] std::optional<std::vector<contact>>
    plan(std::vector<contact> const & listed, bool doubt_unknown) const;

    /// @brief this node as it says itself to be
    /// @note call after the first announce; thread safety: any thread
    [[nodiscard]] member self() const;

    /// @note thread safety: any thread
    [[nodiscard]] membership_counters counters() const;

    [[nodiscard]] member_snapshot snapshot() const override;

private:
    void run();
    void receive_one(duration patience);
    void flush() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    void publish_members();
    bool is_stopping() const;

    clock const & time;
    membership_options options;
    protobuf_gossip_codec codec;
    std::unique_ptr<datagram_socket> socket;
    membership_listener * listener = nullptr;

    mutable absl::Mutex mutex;
    std::unique_ptr<membership> state ABSL_GUARDED_BY(mutex);
    absl::BitGen random ABSL_GUARDED_BY(mutex);
    std::vector<membership_event> events ABSL_GUARDED_BY(mutex);
    membership_counters counted ABSL_GUARDED_BY(mutex);
    bool has_news ABSL_GUARDED_BY(mutex) = false;
    bool stopping ABSL_GUARDED_BY(mutex) = false;

    // apart, so that readers never wait for the state machine
    mutable absl::Mutex snapshot_mutex;
    member_snapshot members ABSL_GUARDED_BY(snapshot_mutex) =
        std::make_shared<std::vector<member> const>();
    time_point published;

    std::thread worker;
};

} // namespace endivehinge::detail

#endif
