#ifndef ENDIVEHINGE_DETAIL_NODE_CRASH_REPORT_BROADCASTER_HPP
#define ENDIVEHINGE_DETAIL_NODE_CRASH_REPORT_BROADCASTER_HPP

#include <thread> // thread

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/detail/control/control_client.hpp>
#include <endivehinge/detail/control/marks_handler.hpp>
#include <endivehinge/detail/node/shared_quarantine.hpp>

namespace endivehinge::detail
{

/// @brief sends the crash reports of this node to the other nodes of its
///        service, and merges theirs into the quarantine
class crash_report_broadcaster final : public marks_handler
{
public:
    /// @param own_name name of this node
    /// @param service service of the target of this node
    /// @param members must outlive the broadcaster
    /// @param client must outlive the broadcaster
    /// @param quarantine must outlive the broadcaster
    crash_report_broadcaster(node_name own_name,
                             service_name service,
                             member_directory const & members,
                             control_client & client,
                             shared_quarantine & quarantine);
    ~crash_report_broadcaster() override;

    /// @brief starts the thread that sends the pending reports
    void start();

    /// @brief closes the queue of pending reports and joins the thread
    /// @note thread safety: one thread; may be called more than once
    void stop();

    void share_marks(wire::share_marks_request const & request) override;

private:
    void run();
    void broadcast(crash_report const & report);

    node_name own_name;
    service_name service;
    member_directory const & members;
    control_client & client;
    shared_quarantine & quarantine;
    std::thread broadcast_thread;
};

} // namespace endivehinge::detail

#endif
