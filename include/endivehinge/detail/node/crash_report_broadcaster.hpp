#ifndef ENDIVEHINGE_DETAIL_NODE_CRASH_REPORT_BROADCASTER_HPP
#define ENDIVEHINGE_DETAIL_NODE_CRASH_REPORT_BROADCASTER_HPP

#include <thread> // thread

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/control/marks_handler.hpp>
#include <endivehinge/detail/node/shared_quarantine.hpp>

namespace endivehinge::detail
{

/// @brief tells the nodes of a service of requests that crash its targets,
///        and takes in what they tell
class crash_report_broadcaster final : public marks_handler
{
public:
    /// @param self this node
    /// @param service that of its target
    /// @param members outlives the sharer
    /// @param client outlives the sharer
    /// @param board outlives the sharer
    crash_report_broadcaster(node_name self,
                             service_name service,
                             member_directory const & members,
                             control_client & client,
                             shared_quarantine & board);
    ~crash_report_broadcaster() override;

    /// @brief begins to tell others, on a thread of its own
    void start();

    /// @brief ends the thread
    /// @note thread safety: one thread; may be called again
    void stop();

    void share_marks(wire::share_marks_request const & request) override;

private:
    void run();
    void tell(crash_report const & mark);

    node_name self;
    service_name service;
    member_directory const & members;
    control_client & client;
    shared_quarantine & board;
    std::thread worker;
};

} // namespace endivehinge::detail

#endif
