#ifndef ENDIVEHINGE_TESTS_CROWD_CROWD_FLEET_HPP
#define ENDIVEHINGE_TESTS_CROWD_CROWD_FLEET_HPP

#include <chrono>  // milliseconds
#include <cstdint> // uint16_t, uint64_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <thread>  // thread
#include <vector>  // vector

#include <boost/asio/executor_work_guard.hpp> // executor_work_guard
#include <boost/asio/io_context.hpp>          // io_context

#include "crowd_target.hpp"
#include "gateway/store_stand_in.hpp"
#include "soak_process.hpp"
#include "temporary_folder.hpp"

namespace endivehinge::tests
{

/// @brief limits in the settings and the configuration of the nodes
struct crowd_limits
{
    std::size_t memory_mebibytes = 64;
    std::size_t descriptors = 4100;
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = std::size_t{1} << 20;
    double header_timeout_s = 3;
    double idle_timeout_s = 15;
};

/// @brief a listener of a node
enum class door
{
    callers,
    nodes,
    readiness,
    reports,
    metrics,
};

/// @brief two nodes as processes, each with a target, and the store
///
/// Store and targets run on a thread of this process. Only the first node gets
/// requests from the tests.
/// @note thread safety: none
class crowd_fleet
{
public:
    explicit crowd_fleet(crowd_limits const & chosen);
    crowd_fleet(crowd_fleet const &) = delete;
    crowd_fleet & operator=(crowd_fleet const &) = delete;
    ~crowd_fleet();

    /// @brief the address of the first node
    [[nodiscard]] std::string host() const;
    [[nodiscard]] static std::uint16_t port(door listener);

    /// @brief whether each node is still the process that was started
    [[nodiscard]] bool nodes_live();

    /// @brief resident memory of a node and the unread bytes in the sockets of
    /// its listeners; of the node with the most
    [[nodiscard]] std::uint64_t memory_bytes() const;

    /// @brief open file descriptors of the node with the most
    [[nodiscard]] std::size_t descriptor_count() const;

    /// @brief whether the first node answers an ordinary request with 200; the
    /// client returns after a refusal for as long as the tests wait at most
    [[nodiscard]] bool answers_ordinary_request() const;

    /// @brief the response to a request that ends its connection; empty if
    /// there is none
    /// @param pause between two parts of 1 MiB; none: all is sent at once
    [[nodiscard]] std::string
    exchange(std::string const & request,
             std::chrono::milliseconds pause = {}) const;

private:
    void start_node(std::size_t index);
    [[nodiscard]] std::uint64_t resident_bytes(std::size_t index) const;
    [[nodiscard]] static std::uint64_t unread_bytes(std::size_t index);

    crowd_limits limits;
    temporary_folder folder;
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work;
    store_stand_in store;
    std::vector<std::unique_ptr<crowd_target>> targets;
    std::vector<std::unique_ptr<soak_process>> nodes;
    std::thread stand_ins;
};

} // namespace endivehinge::tests

#endif
